"""Valid entries that announce a target, for tests that change them."""

HEARTBEAT = {
    "service": "dossier",
    "address": "10.0.0.1:8080",
    "zone": "brest",
    "slots": 3,
    "state": "ready",
    "seq": 1,
}
ANNOUNCEMENT = {
    "service": "dossier",
    "address": "10.0.0.1:8080",
    "data_centre": "brest",
    "slots": 3,
    "instance": "i-1",
}
