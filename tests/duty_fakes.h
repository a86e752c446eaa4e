// Fakes for the duties that one host performs for all: the platform's API, and hosts with clocks of their
// own.
#ifndef OLEANDER_TESTS_DUTY_FAKES_H_
#define OLEANDER_TESTS_DUTY_FAKES_H_

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "serving/duty_leases.h"
#include "tests/serving_fakes.h"

namespace oleander::serving::fakes {

inline constexpr absl::Duration kHandOverGap = absl::Seconds(3);

// One host's clocks: all hosts share the time since boot, but each has its own time of day.
class HostLoop : public Loop {
 public:
  explicit HostLoop(FakeLoop& loop) : loop_(loop) {}
  absl::Time Now() const override { return loop_.Now(); }
  absl::Time WallNow() const override { return loop_.WallNow() + wall_error; }
  TimerId After(absl::Duration delay, std::function<void()> fn) override {
    return loop_.After(delay, std::move(fn));
  }
  void Cancel(TimerId id) override { loop_.Cancel(id); }

  absl::Duration wall_error;

 private:
  FakeLoop& loop_;
};

struct DutyCall {
  absl::Time at;
  DutyHolder holder;
  std::string subject;
  std::int64_t window = 0;
  std::map<std::string, std::int64_t> counts;
  CapacityOrder order;
};

// Records the calls that it carries out, also those whose answers are lost.
class FakeDutyPlatform : public DutyPlatform {
 public:
  explicit FakeDutyPlatform(FakeLoop& loop) : loop_(loop) {}
  void ReportUsage(const DutyHolder& holder, std::int64_t window,
                   const std::map<std::string, std::int64_t>& counts,
                   std::function<void(DutyOutcome)> done) override {
    Handle({loop_.Now(), holder, "usage", window, counts, {}}, std::move(done));
  }
  void OrderCapacity(const DutyHolder& holder, const CapacityOrder& order,
                     std::function<void(DutyOutcome)> done) override {
    Handle({loop_.Now(), holder, order.service + "/" + order.zone, 0, {}, order}, std::move(done));
  }
  // Checks what the platform's users are promised: no two reports of a window differ, the fencing token never
  // falls, and holders act with a gap between them.
  void ExpectOneHolderAndOneReport() const {
    std::map<std::int64_t, std::map<std::string, std::int64_t>> reports;
    std::map<std::string, DutyCall> last;
    for (const DutyCall& it : calls) {
      if (it.subject == "usage") {
        EXPECT_EQ(reports.try_emplace(it.window, it.counts).first->second, it.counts) << it.window;
      }
      const auto before = last.find(it.subject);
      if (before != last.end()) {
        EXPECT_GE(it.holder.fence, before->second.holder.fence);
        if (it.holder.host != before->second.holder.host) {
          EXPECT_GE(it.at - before->second.at, kHandOverGap);
          EXPECT_GT(it.holder.fence, before->second.holder.fence);
        }
      }
      last.insert_or_assign(it.subject, it);
    }
  }

  std::vector<DutyCall> calls;                                // carried out
  std::function<StoreFault(const DutyCall&)> fault;           // empty: none
  std::function<DutyOutcome(const CapacityOrder&)> on_order;  // empty: accepted

 private:
  void Handle(DutyCall call, std::function<void(DutyOutcome)> done) {
    const StoreFault kind = fault ? fault(call) : StoreFault::kNone;
    const bool carried_out = kind == StoreFault::kNone || kind == StoreFault::kLoseAnswer;
    DutyOutcome outcome = carried_out ? DutyOutcome::kAccepted : DutyOutcome::kRefused;
    if (carried_out && on_order && call.subject != "usage") outcome = on_order(call.order);
    if (carried_out) calls.push_back(std::move(call));
    const bool answered = kind == StoreFault::kNone || kind == StoreFault::kRefuse;
    loop_.After(
        answered ? absl::Milliseconds(10) : absl::Milliseconds(2500),
        [done = std::move(done), outcome, answered] { done(answered ? outcome : DutyOutcome::kUnknown); });
  }
  FakeLoop& loop_;
};

}  // namespace oleander::serving::fakes

#endif  // OLEANDER_TESTS_DUTY_FAKES_H_
