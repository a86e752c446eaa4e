// Scheduling at one engine: reserved slots for interactive work, weighted fair queueing of jobs by tokens.
#include <algorithm>
#include <cassert>

#include "oleander/routing.h"

namespace oleander {
namespace {

// Virtual times of idle jobs are removed if more than this many are stored beyond twice the jobs with queued
// work.
constexpr std::size_t kMaxIdleJobs = 16;

// Heap order: true if `a` runs after `b`.
bool HasLowerPriority(const QueuedWork& a, const QueuedWork& b) {
  if (a.step != b.step) return a.step > b.step;
  if (a.resumed != b.resumed) return b.resumed;
  if (a.expected_tokens != b.expected_tokens) return a.expected_tokens < b.expected_tokens;
  if (a.group_unfinished != b.group_unfinished) return a.group_unfinished > b.group_unfinished;
  return a.id > b.id;
}

bool IsInteractive(const QueuedWork& work) { return work.work_class == WorkClass::kInteractive; }

// Tokens charged to the job when the work starts. FinishWork corrects the charge to the tokens served.
int ChargeOf(const QueuedWork& work) {
  int charge = std::max(1, work.expected_tokens);
  if (work.slice_tokens > 0) charge = std::min(charge, work.slice_tokens);
  return charge;
}

// Removes virtual times of idle jobs that are not above virtual_now, because such jobs restart at virtual_now
// anyway.
void RemoveIdleJobs(EngineQueue& queue) {
  if (queue.training.empty() && queue.running_training == 0) {
    queue.virtual_time.clear();
    return;
  }
  if (queue.virtual_time.size() <= 2 * queue.training.size() + kMaxIdleJobs) return;
  for (auto it = queue.virtual_time.begin(); it != queue.virtual_time.end();) {
    const bool idle = it->second <= queue.virtual_now && !queue.training.contains(it->first);
    it = idle ? queue.virtual_time.erase(it) : std::next(it);
  }
}

std::optional<QueuedWork> StartTraining(EngineQueue& queue) {
  auto chosen = queue.training.end();
  double lowest = 0;
  for (auto it = queue.training.begin(); it != queue.training.end(); ++it) {
    const double time = queue.virtual_time[it->first];
    if (chosen != queue.training.end() && time >= lowest) continue;
    chosen = it;
    lowest = time;
  }
  if (chosen == queue.training.end()) return std::nullopt;
  std::vector<QueuedWork>& heap = chosen->second;
  std::pop_heap(heap.begin(), heap.end(), HasLowerPriority);
  QueuedWork work = std::move(heap.back());
  heap.pop_back();
  if (heap.empty()) queue.training.erase(chosen);
  queue.virtual_now = std::max(queue.virtual_now, lowest);
  queue.virtual_time[work.job] = lowest + ChargeOf(work) / work.weight;
  --queue.training_length;
  ++queue.running_training;
  return work;
}

}  // namespace

int ExpectedRemaining(int expected, int received) { return std::max({1, expected - received, received / 2}); }

int QueueLength(const EngineQueue& queue) {
  return static_cast<int>(queue.interactive.size()) + queue.training_length;
}

leaf::result<void> Enqueue(EngineQueue& queue, const QueuedWork& work) {
  assert(work.weight > 0);
  const int length = IsInteractive(work) ? static_cast<int>(queue.interactive.size()) : queue.training_length;
  if (length >= queue.max_length)
    return Fail(ErrorKind::kOverloaded, "the engine's queue is full: " + std::to_string(length) + " waiting");
  queue.earliest_deadline = std::min(queue.earliest_deadline, work.deadline);
  if (IsInteractive(work)) {
    queue.interactive.push_back(work);
    return {};
  }
  assert(!work.job.empty());
  std::vector<QueuedWork>& heap = queue.training[work.job];
  if (heap.empty()) {
    // A job that was idle starts at the current virtual time, so that it gets no credit for its idle time.
    double& time = queue.virtual_time.try_emplace(work.job, queue.virtual_now).first->second;
    time = std::max(time, queue.virtual_now);
  }
  heap.push_back(work);
  std::push_heap(heap.begin(), heap.end(), HasLowerPriority);
  ++queue.training_length;
  return {};
}

std::optional<QueuedWork> StartNext(EngineQueue& queue) {
  if (queue.running_interactive + queue.running_training >= queue.max_in_flight) return std::nullopt;
  if (!queue.interactive.empty()) {
    QueuedWork work = std::move(queue.interactive.front());
    queue.interactive.pop_front();
    ++queue.running_interactive;
    return work;
  }
  if (queue.running_training >= queue.max_in_flight - queue.reserved_interactive) return std::nullopt;
  return StartTraining(queue);
}

void FinishWork(EngineQueue& queue, const QueuedWork& work, int tokens_served) {
  if (IsInteractive(work)) {
    --queue.running_interactive;
    assert(queue.running_interactive >= 0);
    return;
  }
  --queue.running_training;
  assert(queue.running_training >= 0);
  double& time = queue.virtual_time.try_emplace(work.job, queue.virtual_now).first->second;
  time += (tokens_served - ChargeOf(work)) / work.weight;
  RemoveIdleJobs(queue);
}

std::vector<QueuedWork> RemoveExpired(EngineQueue& queue, absl::Time now) {
  std::vector<QueuedWork> expired;
  if (now < queue.earliest_deadline) return expired;
  queue.earliest_deadline = absl::InfiniteFuture();
  const auto move_if_expired = [&](const QueuedWork& work) {
    if (work.deadline <= now) {
      expired.push_back(work);
      return true;
    }
    queue.earliest_deadline = std::min(queue.earliest_deadline, work.deadline);
    return false;
  };
  std::erase_if(queue.interactive, move_if_expired);
  for (auto it = queue.training.begin(); it != queue.training.end();) {
    const std::size_t removed = std::erase_if(it->second, move_if_expired);
    queue.training_length -= static_cast<int>(removed);
    if (removed > 0) std::make_heap(it->second.begin(), it->second.end(), HasLowerPriority);
    it = it->second.empty() ? queue.training.erase(it) : std::next(it);
  }
  return expired;
}

bool RemoveQueued(EngineQueue& queue, std::uint64_t id) {
  const auto has_id = [id](const QueuedWork& work) { return work.id == id; };
  if (std::erase_if(queue.interactive, has_id) > 0) return true;
  for (auto it = queue.training.begin(); it != queue.training.end(); ++it) {
    if (std::erase_if(it->second, has_id) == 0) continue;
    --queue.training_length;
    std::make_heap(it->second.begin(), it->second.end(), HasLowerPriority);
    if (it->second.empty()) queue.training.erase(it);
    return true;
  }
  return false;
}

}  // namespace oleander
