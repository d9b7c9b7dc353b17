"""The runs of this agent, and the thrift calls that concern them."""
