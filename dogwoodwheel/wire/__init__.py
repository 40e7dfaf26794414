"""Protocol between the programs: messages, encoding and connections."""
