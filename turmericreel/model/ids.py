"""Identifiers of the domain; distinct types let the type checker tell them apart."""

from typing import NewType

InstanceId = NewType("InstanceId", str)
DataCentreId = NewType("DataCentreId", str)
ClientAccountId = NewType("ClientAccountId", str)
OperatorId = NewType("OperatorId", str)
ServiceName = NewType("ServiceName", str)
VersionId = NewType("VersionId", str)
BackendServerId = NewType("BackendServerId", str)
RequestId = NewType("RequestId", str)
AttemptNumber = NewType("AttemptNumber", int)
SessionId = NewType("SessionId", str)
IdempotencyKey = NewType("IdempotencyKey", str)
SubmissionId = NewType("SubmissionId", str)
ContentDigest = NewType("ContentDigest", str)
PromptPartId = NewType("PromptPartId", str)
Revision = NewType("Revision", int)
Incarnation = NewType("Incarnation", int)
FencingToken = NewType("FencingToken", int)
Term = NewType("Term", int)
LogIndex = NewType("LogIndex", int)
