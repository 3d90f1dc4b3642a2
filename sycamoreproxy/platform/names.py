"""Names on the platform's wire that more than one module of this package uses."""

from __future__ import annotations

REQUEST_ID = "Sycamoreproxy-Request-Id"
DEADLINE_MS = "Sycamoreproxy-Deadline-Ms"
SIGNATURE = "Sycamoreproxy-Response-Signature"
TENANT = "Sycamoreproxy-Tenant"
EXPECT_INSTANCE = "Sycamoreproxy-Expect-Instance"
EXPECT_VERSION = "Sycamoreproxy-Expect-Version"
REQUEST_PRIORITY = "Sycamoreproxy-Request-Priority"
SERVER_LOAD = "Sycamoreproxy-Server-Load"
NOT_EXECUTED = "Sycamoreproxy-Not-Executed"
INSTANCE_ID = "Sycamoreproxy-Instance-Id"
AT_SERVER = "At-Server"
SERVER_LEAVING = "Server-Leaving"
SERVER_LIMIT = "Server-Limit"
RETRY_AFTER = "Retry-After"
#: In health responses and reports of runners: milliseconds until the runner is warm.
COLD_REMAINING_MS = "Sycamoreproxy-Cold-Remaining-Ms"
#: In all answers of the store: how often it came back from a copy.
STORE_ERA = "Store-Era"
MODEL = "Sycamoreproxy-Model"
TOKEN_COUNT = "Sycamoreproxy-Token-Count"
#: The parts of a prompt in order, as ``ID:TOKENS`` entries; no hash of a prefix.
PROMPT_PARTS = "Sycamoreproxy-Prefix-Hash"
LENGTH_HINT = "Sycamoreproxy-Length-Hint"
WEIGHT_VERSIONS = "Sycamoreproxy-Weight-Versions"
LAST_EVENT_ID = "Last-Event-Id"
API_KEY = "X-Api-Key"

#: Store keys: what the operators write (the configuration, the named weights, evacuated zones), and
#: the runners.
OPERATOR_PREFIX = "op/"
CONFIG_KEY = "op/config"
VERSION_PREFIX = "op/version/"
EVACUATION_PREFIX = "op/evacuate/"
RUNNER_PREFIX = "servers/"

#: State of a runner that takes no new work soon.
DRAINING = "draining"
