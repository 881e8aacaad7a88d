"""Simulated fleets: hundreds of instances of the decision module before modelled servers, in simulated time.

docs/design/simulation.md weighs what is modelled how; docs/simulation.md tells how to run it.
"""
