Feature: The operators' text is checked as a whole

  Scenario: Five mistakes are listed at once, each with its line
    Given the text
      """
      zones:
        zone-a: {region: north, state: closed}
      services:
        lm: {kind: models}
        shop: {kind: plain, depends: [warehouse]}
      endpoints:
        worker-1:
          service: lm
          zone: zone-b
          address: 10.0.0.1:8000
          memory_mb: 1000
          colour: red
      models:
        small: {service: lm, version: "1", size_mb: 100}
      customers:
        frost: {rate: -5, burst: 10}
      """
    When it is checked
    Then the exit code is 1
    And exactly these faults are printed
      | fault                                                                                                      |
      | line 2: zones.zone-a.state: 'closed' is not one of in, out                                                 |
      | line 5: services.shop.depends.0: 'warehouse' is not among the services; add it there or mend it            |
      | line 9: endpoints.worker-1.zone: 'zone-b' is not among the zones; add it there or mend it                  |
      | line 12: endpoints.worker-1.colour: is not known; remove it, or use one of service, zone, address, memory_mb, concurrency, fresh_concurrency, fencing |
      | line 16: customers.frost.rate: -5 is too small; give 0 or more                                             |

  Scenario Outline: A fault is told with its line and remedy
    Given the example text
    When "<old>" is replaced by "<new>"
    Then a fault on line <line> says "<message>"

    Examples: Values
      | old                | new                   | line | message                         |
      | rate: 10           | rate: fast            | 12   | is not a number                 |
      | rate: 10           | rate: .inf            | 12   | is not a number                 |
      | rate: 10           | rate: "10"            | 12   | without quotes                  |
      | rate: 10           | rte: 10               | 12   | did you mean 'rate'?            |
      | rate: 10, burst: 5 | rate: 10              | 12   | burst: is missing; add it       |
      | version: "1"       | version: 1.0          | 8    | put it in quotes                |
      | version: "1"       | version: ""           | 8    | is empty                        |
      | size_mb: 100       | size_mb: 0            | 8    | give 1 or more                  |
      | size_mb: 100       | size_mb: 1.5          | 8    | is not a whole number           |
      | 10.0.0.1:80        | worker-1:80           | 6    | write IP:PORT                   |
      | 10.0.0.1:80        | 10.0.0.1:80000        | 6    | write IP:PORT                   |
      | memory_mb: 1000    | memory_mb: 0          | 6    | give its memory                 |
      | memory_mb: 1000    | memory_mb: 99         | 8    | above the memory of every       |
      | fencing: true      | fencing: "yes"        | 6    | is not true or false            |
      | kind: models       | kind: model           | 3    | is not one of models, plain     |
      | ab12ab12           | ab12ab1               | 12   | hexadecimal digits              |
      | name: one          | name: One             | 12   | lower-case letters              |

    Examples: References
      | old                | new                   | line | message                         |
      | base: small        | base: smal            | 10   | is not among the models         |
      | tuned:             | small:                | 10   | is the name of a model          |
      | size_mb: 1}        | size_mb: 950}         | 10   | beside its base                 |
      | priority: normal   | priority: high        | 12   | is not among the classes        |
      | name: two          | name: one             | 13   | is a key of 'frost' too         |
      | 10.0.0.2:80        | 10.0.0.1:80           | 7    | is the address of 'worker-1'    |
      | depends: []        | depends: [shop]       | 4    | leads back to the service       |
      | service: lm, v     | service: shop, v      | 8    | is a plain service              |
      | kind: models       | kind: models, once_routes: [{method: GET, path: /}] | 3 | only for a plain |

    Examples: Form
      | old                | new                   | line | message                         |
      | tuned:             | "tu ned":             | 10   | is no name                      |
      | frost:             | grower:               | 13   | stands on line 12 already       |
      | {kind: models}     | [models]              | 3    | is not a map                    |
      | {kind: models}     | {}                    | 3    | give its fields                 |
      | {kind: models}     | {kind: models         | 4    | is no YAML                      |
      | customers:         | custmers:             | 11   | did you mean 'customers'?       |
      | depends: []        | depends: lm           | 4    | is not a list                   |
      | rate: 10           | rate: *a              | 12   | is no YAML                      |

  Scenario Outline: A text that no operator meant is refused at once
    Given a text of <kind>
    When it is checked
    Then the exit code is 1
    And one fault is printed that says "<message>"

    Examples:
      | kind                   | message            |
      | nothing                | is empty           |
      | nine million bytes     | shorten it         |
      | a million brackets     | nesting            |
      | an alias in itself     | write it out       |
      | one word               | is not a map       |
      | bytes that are no text | UTF-8              |

  Scenario: Whatever is done to a text, it is read or its faults are told
    Given the file "examples/frostline.yaml"
    Then 300 damaged copies of it are read or refused with faults

  Scenario Outline: Both users' texts have no faults
    Given the file "examples/<file>"
    When it is checked
    Then the exit code is 0
    And it declares <zones> zones, <models> models and <adapters> adapters
    And it declares <workers> endpoints for models, <plain> others and 5 customers

    Examples:
      | file            | zones | models | adapters | workers | plain |
      | frostline.yaml  | 4     | 30     | 55       | 5       | 4     |
      | kokosfaser.yaml | 4     | 25     | 75       | 6       | 4     |

  Scenario: 16,000 adapters are read in a few seconds
    Given a text with 16000 adapters
    Then it is read within 6 s of processor time

  Scenario Outline: Keys and zones change, and all the rest stays
    Given the text
      """
      # Umläute first
      zones: {zone-a: {region: n}, zone-b: {region: n, state: "out"}}  # two
      services: {lm: {kind: models}}
      endpoints: {}
      customers:
        frost:  # cold
          <keys>
          burst: 2  # last
      """
    When key "new" is added, zone "zone-a" taken out and zone "zone-b" in
    Then each line without zones or keys stays as it was
    And each key can be removed again, and no other comment goes

    Examples:
      | keys                                                                                |
      | rate: 1                                                                             |
      | rate: 1{nl}    keys: []  # none                                                     |
      | rate: 1{nl}    keys: [{one}, {two}]  # flow                                         |
      | rate: 1{nl}    keys:  # block{nl}    - {one}{nl}    # between{nl}    - {two}        |
      | rate: 1{nl}    keys:{nl}      # before{nl}      - {deep}{nl}      # after           |

  Scenario Outline: A program with a wrong setting stops with one clear line
    When the <program> starts with "<old>" replaced by "<new>" in its settings
    Then it stops with one line that says "<message>"

    Examples:
      | program     | old             | new                 | message                        |
      | coordinator | zone: zone-a    | zne: zone-a         | zone: is missing               |
      | coordinator | name: entry-1   | name: 7             | put it in quotes               |
      | coordinator | name: entry-1   | name: entry 1       | is malformed                   |
      | coordinator | admin: 127      | admin: 527          | write such as                  |
      | coordinator | peer:           | pear:               | peer: is missing               |
      | coordinator | name: entry-1   | {                   | is no YAML                     |
      | coordinator | log:            | lg:                 | lg: is not known; remove it    |
      | gateway     | format: text    | format: xml         | is not one of text, json       |
      | gateway     | coordinator:    | cordinator:         | coordinator: is missing        |
      | gateway     | log:            | max_body_bytes: 0{nl}log: | whole number of 1 or more      |
      | gateway     | zone: zone-a    | zone: zone-a{nl}secrets: {a: /no/such} | cannot be read |
