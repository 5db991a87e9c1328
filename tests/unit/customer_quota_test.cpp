/// \file
/// Quotas over simulated fleets, and on the request path.
#include "support/quota_fleet.h"

#include <boost/test/unit_test.hpp>
