/// \file
/// Public header of the steering package: routes, upstream selection, retry
/// budgets, fleet membership and store rows. It uses no sockets, threads or
/// clocks.
#pragma once

#include "steer/admission.h"
#include "steer/buffer_budget.h"
#include "steer/choice.h"
#include "steer/config_freshness.h"
#include "steer/crash_suspects.h"
#include "steer/customer_quota.h"
#include "steer/customer_table.h"
#include "steer/fleet.h"
#include "steer/key_placement.h"
#include "steer/local_share.h"
#include "steer/rate_limit.h"
#include "steer/read_delay.h"
#include "steer/residency.h"
#include "steer/retry_budget.h"
#include "steer/route_table.h"
#include "steer/row_cache.h"
#include "steer/row_lag.h"
#include "steer/store_row.h"
#include "steer/upstream.h"
#include "steer/upstream_links.h"
#include "steer/upstream_table.h"
