"""Commands that change the replicated state, and the results they return.

Every control instance applies the commands in log order.  The result must be
deterministic: it may depend only on the state, the command and the time stamp of the
log entry.
"""
