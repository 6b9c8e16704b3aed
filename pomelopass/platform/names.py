"""Define the headers, paths, tables and keys of the platform."""

REQUEST_ID = 'attempt-id'
DEADLINE_MS = 'deadline-ms'
# Id of the only endpoint that may run the request.
EXPECTED_ENDPOINT = 'expect-instance'
ENDPOINT_ID = 'instance-id'
# Running, waiting, slots and, optionally, the slowdown in percent.
ENDPOINT_LOAD = 'instance-load'
# Requests per second that the endpoint takes from all instances together.
REQUEST_LIMIT = 'server-limit'
# The endpoint stops soon; in any of its answers.
LEAVING = 'server-leaving'
SIGNATURE = 'server-stamp'
NOT_RUN = 'not-executed'
LAST_EVENT_ID = 'last-event-id'
# Id of the caller's request that brought the first event of the stream.
RESUMED_REQUEST_ID = 'resumes'
WEIGHT_VERSION = 'weight-versions'
# The key of a workspace, after the scheme Bearer.
AUTHORIZATION = 'authorization'
# Name of the workspace; only instances set it.
WORKSPACE = 'tenant'
# Headers of callers that are never forwarded where keys are checked.
CREDENTIALS = frozenset((AUTHORIZATION, WORKSPACE))
WAIT_MS = 'wait-ms'
LENGTH_HINT = 'length-hint'

READINESS_PATH = '/-/readiness'
DIRECTORY_PATH = '/-/resolve'
JOB_PATH = '/-/lots/'
ITEM_PATH = '/-/items/'
ORDER_PATH = '/-/order'
REPORT_PATH = '/-/report'

TRANSACTION_PATH = '/-/rows-tx'
READ_PATH = '/-/rows-get'
PARTS_PATH = '/-/rows-parts'
FEED_PATH = '/-/rows-feed'

OPERATOR_TABLE = 'op'
ENDPOINT_TABLE = 'servers'
# Grows with each write of an endpoint's entry.
ENTRY_COUNTER = 'seq'
CONFIG_KEY = 'config'
VERSION_KEY_PREFIX = 'version/'

USAGE_PATH = '/usage'
SCALING_PATH = '/scale'
# Name of the instance that holds a duty, and its fencing token.
DUTY_HOLDER = 'duty-holder'
FENCE_TOKEN = 'fence-token'
USAGE_DUTY = 'usage_report'
SCALING_DUTY = 'autoscale'
