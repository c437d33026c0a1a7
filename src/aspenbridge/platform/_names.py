"""Names that the platform defines: headers, paths, tables, environment."""

from __future__ import annotations

SETTINGS_VARIABLE = "ASPENBRIDGE_BOOT"

REQUEST_ID = "X-Aspenbridge-Attempt-Id"  # a caller's retry has a new id
TIME_BUDGET_MS = "X-Aspenbridge-Deadline-Ms"  # a duration, not a time
RESUME_AFTER = "Last-Event-Id"
PROMPT_PARTS = "X-Aspenbridge-Prefix-Hash"
SERVER_STAMP = "X-Aspenbridge-Server-Stamp"
EXPECTED_ENGINE = "X-Aspenbridge-Expect-Instance"
NOT_EXECUTED = "X-Aspenbridge-Not-Executed"
SERVER_LEAVING = "X-Aspenbridge-Server-Leaving"
SERVER_LEAVING_WITHOUT_PREFIX = "Server-Leaving"
WAIT_MS = "X-Aspenbridge-Wait-Ms"
RETRY_AFTER = "Retry-After"

READY_PATH = "/readyz"
RESULTS_PATH = "/lots/"
ITEM_BODIES_PATH = "/items/"

TRANSACT_PATH = "/rows-tx"
ROWS_PATH = "/rows-get"
PARTS_PATH = "/rows-parts"
CHANGES_PATH = "/rows-feed"
OBJECT_PUT_PATH = "/blob-put/"
OBJECT_GET_PATH = "/blob-get/"
OBJECT_DELETE_PATH = "/blob-drop/"

OPERATOR_TABLE = "op"
CONFIGURATION_KEY = "config"
ENGINES_TABLE = "servers"
