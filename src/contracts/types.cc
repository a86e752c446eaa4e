#include "oleander/types.h"

#include <algorithm>
#include <array>
#include <cassert>

#include "absl/strings/str_cat.h"

namespace oleander {
namespace {

constexpr std::array<std::string_view, 3> kWorkClassNames = {"interactive", "scoring", "rollout"};
constexpr std::array<std::string_view, 2> kUpstreamKindNames = {"engine", "service"};
constexpr std::array<std::string_view, 3> kUpstreamStateNames = {"live", "leaving", "gone"};
constexpr std::array<std::string_view, 3> kFinishReasonNames = {"none", "stop", "length"};

// Returns the index of `name` in `names`, or -1.
template <std::size_t N>
int FindName(const std::array<std::string_view, N>& names, std::string_view name) {
  const auto it = std::find(names.begin(), names.end(), name);
  return it == names.end() ? -1 : static_cast<int>(it - names.begin());
}

}  // namespace

std::string_view NameOf(WorkClass work_class) { return kWorkClassNames[static_cast<int>(work_class)]; }
std::string_view NameOf(UpstreamKind kind) { return kUpstreamKindNames[static_cast<int>(kind)]; }
std::string_view NameOf(UpstreamState state) { return kUpstreamStateNames[static_cast<int>(state)]; }
std::string_view NameOf(FinishReason reason) { return kFinishReasonNames[static_cast<int>(reason)]; }

std::string ToString(const SlotKey& slot) {
  return absl::StrCat(slot.job, "/", slot.step, "/", slot.group, "/", slot.index);
}

void AppendSpan(std::vector<VersionSpan>& spans, Version version, int tokens) {
  assert(tokens >= 0);
  if (tokens == 0) return;
  if (!spans.empty() && spans.back().version == version) {
    spans.back().tokens += tokens;
    return;
  }
  spans.push_back({version, tokens});
}

Version OldestVersion(const std::vector<VersionSpan>& spans) {
  if (spans.empty()) return 0;
  const auto it =
      std::min_element(spans.begin(), spans.end(),
                       [](const VersionSpan& a, const VersionSpan& b) { return a.version < b.version; });
  return std::max<Version>(it->version, 0);
}

Json ToJson(const Sample& sample) {
  Json spans = Json::array();
  for (const VersionSpan& it : sample.spans)
    spans.push_back({{"version", it.version}, {"tokens", it.tokens}});
  return {{"job", sample.slot.job},     {"step", sample.slot.step},  {"group", sample.slot.group},
          {"index", sample.slot.index}, {"attempt", sample.attempt}, {"prompt", sample.prompt},
          {"tokens", sample.tokens},    {"spans", std::move(spans)}, {"finish", NameOf(sample.finish)},
          {"score", sample.score},      {"scored", sample.scored}};
}

leaf::result<Sample> SampleFromJson(const Json& json) {
  try {
    Sample sample;
    sample.slot.job = json.at("job").get<std::string>();
    sample.slot.step = json.at("step").get<std::int64_t>();
    sample.slot.group = json.at("group").get<int>();
    sample.slot.index = json.at("index").get<int>();
    sample.attempt = json.at("attempt").get<std::string>();
    sample.prompt = json.at("prompt").get<std::string>();
    sample.tokens = json.at("tokens").get<std::vector<std::int32_t>>();
    std::int64_t total = 0;
    for (const Json& it : json.at("spans")) {
      sample.spans.push_back({it.at("version").get<Version>(), it.at("tokens").get<int>()});
      total += sample.spans.back().tokens;
    }
    if (total != static_cast<std::int64_t>(sample.tokens.size())) {
      return Fail(ErrorKind::kInvalidRequest,
                  absl::StrCat("spans cover ", total, " tokens, the sample has ", sample.tokens.size()));
    }
    const std::string finish = json.at("finish").get<std::string>();
    const int index = FindName(kFinishReasonNames, finish);
    if (index < 0) return Fail(ErrorKind::kInvalidRequest, absl::StrCat("finish: unknown reason ", finish));
    sample.finish = static_cast<FinishReason>(index);
    sample.score = json.at("score").get<double>();
    sample.scored = json.at("scored").get<bool>();
    return sample;
  } catch (const Json::exception& ex) {
    return Fail(ErrorKind::kInvalidRequest, absl::StrCat("sample: ", ex.what()));
  }
}

Json ToJson(const Upstream& upstream) {
  return {{"id", upstream.id},
          {"kind", NameOf(upstream.kind)},
          {"pool", upstream.pool},
          {"zone", upstream.zone},
          {"address", upstream.endpoint.address},
          {"port", upstream.endpoint.port},
          {"state", NameOf(upstream.state)}};
}

leaf::result<Upstream> UpstreamFromJson(const Json& json) {
  try {
    Upstream upstream;
    upstream.id = json.at("id").get<std::string>();
    upstream.pool = json.at("pool").get<std::string>();
    upstream.zone = json.at("zone").get<std::string>();
    upstream.endpoint.address = json.at("address").get<std::string>();
    upstream.endpoint.port = json.at("port").get<int>();
    const int kind = FindName(kUpstreamKindNames, json.at("kind").get<std::string>());
    if (kind < 0) return Fail(ErrorKind::kInvalidRequest, "upstream: kind must be \"engine\" or \"service\"");
    upstream.kind = static_cast<UpstreamKind>(kind);
    const int state = FindName(kUpstreamStateNames, json.at("state").get<std::string>());
    if (state < 0)
      return Fail(ErrorKind::kInvalidRequest, "upstream: state must be \"live\", \"leaving\" or \"gone\"");
    upstream.state = static_cast<UpstreamState>(state);
    if (upstream.id.empty()) return Fail(ErrorKind::kInvalidRequest, "upstream: id is empty");
    if (upstream.endpoint.port < 1 || upstream.endpoint.port > 65535) {
      return Fail(ErrorKind::kInvalidRequest,
                  absl::StrCat("upstream ", upstream.id, ": port must be 1 to 65535"));
    }
    return upstream;
  } catch (const Json::exception& ex) {
    return Fail(ErrorKind::kInvalidRequest, absl::StrCat("upstream: ", ex.what()));
  }
}

}  // namespace oleander
