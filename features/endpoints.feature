Feature: No endpoint gets more than it bears
  The engines judge each request against what they bear at their age.

  @promise @promise-06
  Scenario: A warm engine restarts without warning under load
    Given 4 entries and 1 engine of 1000 MB
    And the model "frames" of 600 MB with 1 replica
    And the placement fleet runs
    When 16 callers send requests for "frames" without a pause
    And engine "w0" is warm
    And engine "w0" restarts
    And engine "w0" is warm
    And the callers stop
    Then engine "w0" never got more than it bore
    And each reply was whole or truly refused

  @promise @promise-06
  Scenario: The owner of a warming engine dies under load
    Given 4 entries and 1 engine of 1000 MB
    And the model "frames" of 600 MB with 1 replica
    And the placement fleet runs
    When 12 callers at other entries than the owner's load "frames"
    And 20 requests were answered
    And the owner of engine "w0" is killed amid the load
    And engine "w0" is warm under a new owner
    And the callers stop
    Then engine "w0" never got more than it bore
    And each reply was whole or truly refused

  @promise @promise-06
  Scenario: The owner of a fresh engine hands over under load
    Given 3 entries and 1 engine of 1000 MB
    And the model "frames" of 600 MB with 1 replica
    And the placement fleet runs
    When 12 callers at other entries than the owner's load "frames"
    And 20 requests were answered
    And the owner of engine "w0" is stopped by SIGTERM
    And engine "w0" is warm under a new owner
    And the callers stop
    Then engine "w0" never got more than it bore
    And each reply was whole or truly refused

  @promise @promise-11
  Scenario: A leaving endpoint receives no new work after 3 s
    Given 4 entries and 2 engines of 1000 MB
    And the model "frames" of 300 MB with 1 replica
    And the placement fleet runs
    And a request for "frames" is answered
    When 8 callers send requests for "frames" without a pause
    And a stream of 6 s for "frames" is begun
    And the endpoint of "frames" is listed as leaving
    And 20 requests were answered by the other engine
    And the callers stop
    Then the leaving endpoint got no request 3 s after the listing
    And the stream came whole
    And each reply was whole or truly refused

  @promise @promise-11
  Scenario: The list goes back and shows a leaving endpoint as live
    Given 2 entries and 2 engines of 1000 MB
    And the model "frames" of 300 MB with 1 replica
    And the placement fleet runs
    And a request for "frames" is answered
    When the endpoint of "frames" is listed as leaving
    And 8 callers send requests for "frames" without a pause
    And 20 requests were answered by the other engine
    And the list of VMs goes back to an older state
    And 200 requests were answered
    And the callers stop
    Then the leaving endpoint got no request 3 s after the listing

  Scenario: A hung engine is left out and let back in
    Given 2 entries and 2 engines of 1000 MB
    And the model "frames" of 300 MB with 2 replicas
    And the placement fleet runs
    When engine "w0" holds "frames" and hangs
    And 8 callers send requests for "frames" without a pause
    And 100 requests were answered by the other engine
    And engine "w0" goes on
    Then engine "w0" gets requests again
    And the callers stop
