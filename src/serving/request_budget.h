// The budget of requests to one upstream that limits them: a token bucket in the store that all hosts draw
// from. Pure functions; request_limits.h does the store calls.
//
// Load pattern: an overloaded upstream accepts a few requests per second from all hosts together, while
// owners have hundreds of items to place, or many hosts have a few lookups each. A share for each host would
// be far below one request per second on a large fleet, so hosts draw tokens as they need them.
#ifndef OLEANDER_SRC_SERVING_REQUEST_BUDGET_H_
#define OLEANDER_SRC_SERVING_REQUEST_BUDGET_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"

namespace oleander::serving {

struct RequestBudget {
  double limit = 0;            // requests/s, as last stated by the upstream to any of the hosts that draw
  absl::Duration stated_at;    // when it was; store time, like all times here
  double tokens = 0;           // requests that may be sent; a new budget is empty
  absl::Duration refilled_at;  // when `tokens` was computed
  std::map<std::string, absl::Duration> senders;  // hosts that drew tokens lately, with the last time
};

// A draw of tokens. Each token is valid for kTokenLifetime after the draw.
struct BudgetDraw {
  std::string host;          // incarnation
  double limit = 0;          // requests/s, as last stated to this host
  absl::Duration stated_at;  // when it was
  int wanted = 0;            // tokens
  absl::Duration now;        //
};

inline constexpr absl::Duration kTokenLifetime = absl::Milliseconds(750);

// Refills the budget and draws up to `wanted` tokens. Returns the number drawn; 0 leaves only the refill. In
// any 4 s all hosts together can use at most 5.15 s of the limit: 4 s of refill, the full bucket, and tokens
// drawn up to their lifetime before.
int DrawTokens(RequestBudget& budget, const BudgetDraw& draw);
// Time until the next whole token.
absl::Duration TimeToNextToken(const RequestBudget& budget);

// Requests/s that one host may send while the store does not answer it. The hosts cannot draw from a common
// budget then; each takes an equal part of half of the limit, so that hosts that the store still serves and
// hosts that it does not serve stay within the upstream's tolerance together. `budget`: as last read, nullopt
// if never. `models`: models that the upstream's service has; each has one owner at a time, or two around a
// handover. Returns 0 if the number of senders cannot be estimated.
double OutageRate(const std::optional<RequestBudget>& budget, std::string_view host, double limit,
                  int models);

std::string EncodeBudget(const RequestBudget& budget);
// Returns nullopt if `value` is not an encoded budget.
std::optional<RequestBudget> DecodeBudget(std::string_view value);

}  // namespace oleander::serving

#endif  // OLEANDER_SRC_SERVING_REQUEST_BUDGET_H_
