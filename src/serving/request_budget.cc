#include "serving/request_budget.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace oleander::serving {
namespace {

using Json = nlohmann::json;

constexpr absl::Duration kBucketTime = absl::Milliseconds(400);  // of refill that a full bucket holds
// Requests/s, even if the upstream states less: an answer is the only notice that a limit has been lifted.
constexpr double kMinLimit = 0.25;
constexpr absl::Duration kSenderLifetime = absl::Seconds(10);  // since its last draw, for OutageRate
constexpr double kOutageShare = 0.5;
constexpr int kOwnersPerModel = 2;

double MillisecondsOf(absl::Duration duration) { return absl::ToDoubleMilliseconds(duration); }

}  // namespace

int DrawTokens(RequestBudget& budget, const BudgetDraw& draw) {
  if (draw.stated_at >= budget.stated_at) {
    budget.limit = draw.limit;
    budget.stated_at = draw.stated_at;
  }
  const double limit = std::max(kMinLimit, budget.limit);
  const double capacity = std::max(1.0, limit * absl::ToDoubleSeconds(kBucketTime));
  if (draw.now > budget.refilled_at) {
    budget.tokens += limit * absl::ToDoubleSeconds(draw.now - budget.refilled_at);
    budget.refilled_at = draw.now;
  }
  budget.tokens = std::min(budget.tokens, capacity);
  const int drawn = std::min(draw.wanted, static_cast<int>(budget.tokens));
  if (drawn <= 0) return 0;
  budget.tokens -= drawn;
  budget.senders[draw.host] = draw.now;
  std::erase_if(budget.senders, [&draw](const std::pair<const std::string, absl::Duration>& it) {
    return draw.now - it.second > kSenderLifetime;
  });
  return drawn;
}

absl::Duration TimeToNextToken(const RequestBudget& budget) {
  const double missing = std::max(0.0, 1 - budget.tokens);
  return absl::Seconds(missing / std::max(kMinLimit, budget.limit));
}

double OutageRate(const std::optional<RequestBudget>& budget, std::string_view host, double limit,
                  int models) {
  std::size_t senders = static_cast<std::size_t>(models * kOwnersPerModel);
  if (budget && budget->senders.contains(std::string(host)))
    senders = std::max(senders, budget->senders.size());
  return senders == 0 ? 0 : kOutageShare * std::max(kMinLimit, limit) / static_cast<double>(senders);
}

std::string EncodeBudget(const RequestBudget& budget) {
  Json senders = Json::object();
  for (const std::pair<const std::string, absl::Duration>& it : budget.senders)
    senders[it.first] = absl::ToInt64Milliseconds(it.second);
  return Json({{"limit", budget.limit},
               {"stated_at_ms", MillisecondsOf(budget.stated_at)},
               {"tokens", budget.tokens},
               {"refilled_at_ms", MillisecondsOf(budget.refilled_at)},
               {"senders_ms", std::move(senders)}})
      .dump();
}

std::optional<RequestBudget> DecodeBudget(std::string_view value) {
  const Json json = Json::parse(value, nullptr, false);
  if (!json.is_object()) return std::nullopt;
  try {
    RequestBudget budget;
    budget.limit = json.at("limit").get<double>();
    budget.stated_at = absl::Milliseconds(json.at("stated_at_ms").get<double>());
    budget.tokens = json.at("tokens").get<double>();
    budget.refilled_at = absl::Milliseconds(json.at("refilled_at_ms").get<double>());
    for (const auto& it : json.at("senders_ms").items())
      budget.senders[it.key()] = absl::Milliseconds(it.value().get<std::int64_t>());
    return budget;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace oleander::serving
