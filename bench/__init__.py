"""Load generator, scenarios, proofs and seeded runs; real daemons on loopback."""
