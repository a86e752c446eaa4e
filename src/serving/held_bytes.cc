#include "serving/held_bytes.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace oleander::serving {
namespace {

constexpr std::array<std::string_view, kHeldKindCount> kKindNames = {"requests", "answers", "jobs"};

constexpr double kMemoryShare = 0.68;  // of the process's memory limit; a process at rest uses about 10 MB
constexpr std::array<double, kHeldKindCount> kKindShares = {0.35, 0.35, 0.3};  // of the account

constexpr std::size_t kMaxSmallBytes = 64 << 10;
constexpr std::size_t kMaxMediumBytes = 1 << 20;

// By HeldSize: how far holders of a size may fill the share of their kind, and the part of it that holders of
// this and smaller sizes may fill in any case.
constexpr std::array<double, kHeldSizeCount> kFill = {1.0, 0.8, 0.6};
constexpr std::array<double, kHeldSizeCount> kReserved = {0.12, 0.2, 0.0};

std::size_t PartOf(std::size_t bytes, double part) {
  return static_cast<std::size_t>(static_cast<double>(bytes) * part);
}

}  // namespace

std::string_view NameOf(HeldKind kind) { return kKindNames[static_cast<std::size_t>(kind)]; }

HeldLimits HeldLimitsFor(std::size_t memory_bytes) {
  HeldLimits limits;
  limits.total = PartOf(memory_bytes, kMemoryShare);
  for (std::size_t it = 0; it < kHeldKindCount; ++it)
    limits.shares[it] = PartOf(limits.total, kKindShares[it]);
  return limits;
}

HeldSize SizeOf(std::size_t bytes) {
  if (bytes <= kMaxSmallBytes) return HeldSize::kSmall;
  return bytes <= kMaxMediumBytes ? HeldSize::kMedium : HeldSize::kLarge;
}

std::size_t BytesOf(const HeldUse& use, HeldKind kind) {
  const std::array<std::size_t, kHeldSizeCount>& sizes = use[static_cast<std::size_t>(kind)];
  return std::accumulate(sizes.begin(), sizes.end(), std::size_t{0});
}

bool MayHold(const HeldLimits& limits, const HeldUse& use, HeldKind kind, std::size_t held,
             std::size_t wanted) {
  if (wanted <= held) return true;
  const std::size_t index = static_cast<std::size_t>(kind);
  const std::size_t share = limits.shares[index];
  const std::size_t size = static_cast<std::size_t>(SizeOf(wanted));
  std::array<std::size_t, kHeldSizeCount> others = use[index];
  others[static_cast<std::size_t>(SizeOf(held))] -= held;
  const std::size_t all = std::accumulate(others.begin(), others.end(), std::size_t{0});
  const bool fits = all + wanted <= PartOf(share, kFill[size]);
  if (SizeOf(wanted) != HeldSize::kLarge) {
    const std::size_t smaller = std::accumulate(others.begin(), others.begin() + size + 1, std::size_t{0});
    return fits || smaller + wanted <= PartOf(share, kReserved[size]);
  }
  // While a single large holder exceeds the share of its kind, that room is missing for other kinds.
  const bool alone = others[size] == 0;
  std::size_t total = wanted - held;
  for (std::size_t it = 0; it < kHeldKindCount; ++it) total += BytesOf(use, static_cast<HeldKind>(it));
  return (fits || alone) && total <= limits.total;
}

std::uint64_t ChooseRefused(const std::vector<RoomWaiter>& waiters, absl::Duration max_wait, absl::Time now) {
  const auto expired = std::find_if(waiters.begin(), waiters.end(),
                                    [&](const RoomWaiter& it) { return now - it.since >= max_wait; });
  if (expired == waiters.end()) return 0;
  if (expired->held == 0) return expired->id;
  const RoomWaiter* smallest = &*expired;
  for (const RoomWaiter& it : waiters) {
    if (it.held > 0 && it.held < smallest->held) smallest = &it;
  }
  return smallest->id;
}

HeldCharge::HeldCharge(HeldCharge&& other) noexcept
    : account_(other.account_), kind_(other.kind_), bytes_(std::exchange(other.bytes_, 0)) {}

HeldCharge& HeldCharge::operator=(HeldCharge&& other) noexcept {
  if (this == &other) return *this;
  Resize(0);
  account_ = other.account_;
  kind_ = other.kind_;
  bytes_ = std::exchange(other.bytes_, 0);
  return *this;
}

bool HeldCharge::TryResize(std::size_t bytes) {
  if (account_ != nullptr && !account_->MayHold(kind_, bytes_, bytes)) return false;
  Resize(bytes);
  return true;
}

void HeldCharge::Resize(std::size_t bytes) {
  if (account_ != nullptr) {
    std::array<std::size_t, kHeldSizeCount>& use = account_->use_[static_cast<std::size_t>(kind_)];
    use[static_cast<std::size_t>(SizeOf(bytes_))] -= bytes_;
    use[static_cast<std::size_t>(SizeOf(bytes))] += bytes;
  }
  bytes_ = bytes;
}

}  // namespace oleander::serving
