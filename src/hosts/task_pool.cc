#include "hosts/task_pool.h"

#include <bit>
#include <cassert>
#include <cerrno>
#include <utility>

#include "absl/time/clock.h"

namespace oleander {

Semaphore::Semaphore() { sem_init(&sem_, 0, 0); }
Semaphore::~Semaphore() { sem_destroy(&sem_); }
void Semaphore::Post() { sem_post(&sem_); }

void Semaphore::Wait() {
  while (sem_wait(&sem_) != 0 && errno == EINTR) {
  }
}

bool Semaphore::WaitUntil(absl::Time deadline) {
  if (deadline == absl::InfiniteFuture()) {
    Wait();
    return true;
  }
  const timespec at = absl::ToTimespec(deadline);
  while (sem_timedwait(&sem_, &at) != 0) {
    if (errno != EINTR) return false;
  }
  return true;
}

TaskPool::TaskPool(int threads, std::size_t capacity) {
  assert(threads > 0 && capacity > 0);
  const std::size_t size = std::bit_ceil(capacity);
  mask_ = size - 1;
  cells_ = std::make_unique<Cell[]>(size);
  for (std::size_t it = 0; it < size; ++it) cells_[it].sequence.store(it, std::memory_order_relaxed);
  threads_.reserve(threads);
  for (int it = 0; it < threads; ++it) threads_.emplace_back([this] { RunWorker(); });
}

TaskPool::~TaskPool() { Stop(); }

bool TaskPool::Push(Task& task) {
  std::size_t at = tail_.load(std::memory_order_relaxed);
  while (true) {
    Cell& cell = cells_[at & mask_];
    const std::size_t sequence = cell.sequence.load(std::memory_order_acquire);
    if (sequence == at) {
      if (!tail_.compare_exchange_weak(at, at + 1, std::memory_order_relaxed)) continue;
      cell.task = std::move(task);
      cell.sequence.store(at + 1, std::memory_order_release);
      return true;
    }
    if (sequence < at) return false;
    at = tail_.load(std::memory_order_relaxed);
  }
}

bool TaskPool::Pop(Task& task) {
  std::size_t at = head_.load(std::memory_order_relaxed);
  while (true) {
    Cell& cell = cells_[at & mask_];
    const std::size_t sequence = cell.sequence.load(std::memory_order_acquire);
    if (sequence == at + 1) {
      if (!head_.compare_exchange_weak(at, at + 1, std::memory_order_relaxed)) continue;
      task = std::move(cell.task);
      cell.task = nullptr;
      cell.sequence.store(at + mask_ + 1, std::memory_order_release);
      return true;
    }
    if (sequence < at + 1) return false;
    at = head_.load(std::memory_order_relaxed);
  }
}

bool TaskPool::Submit(Task task) {
  if (stopping_.load(std::memory_order_acquire)) return false;
  pending_.fetch_add(1, std::memory_order_relaxed);
  if (!Push(task)) {
    pending_.fetch_sub(1, std::memory_order_relaxed);
    return false;
  }
  ready_.Post();
  return true;
}

bool TaskPool::SubmitIfIdle(Task task) {
  const int threads = static_cast<int>(threads_.size());
  if (stopping_.load(std::memory_order_acquire)) return false;
  if (pending_.fetch_add(1, std::memory_order_relaxed) >= threads || !Push(task)) {
    pending_.fetch_sub(1, std::memory_order_relaxed);
    return false;
  }
  ready_.Post();
  return true;
}

void TaskPool::RunWorker() {
  while (true) {
    ready_.Wait();
    Task task;
    // Pop can fail after a Wait: a producer that was descheduled after reserving a cell and before filling it
    // blocks the cells behind it. It fills the cell and posts when it resumes, so no task is lost.
    while (!Pop(task)) {
      if (stopping_.load(std::memory_order_acquire) &&
          head_.load(std::memory_order_acquire) == tail_.load(std::memory_order_acquire))
        return;
      std::this_thread::yield();
    }
    task();
    task = nullptr;
    pending_.fetch_sub(1, std::memory_order_release);
  }
}

void TaskPool::Stop() {
  if (threads_.empty()) return;
  stopping_.store(true, std::memory_order_release);
  for (std::size_t it = 0; it < threads_.size(); ++it) ready_.Post();
  for (std::thread& it : threads_) it.join();
  threads_.clear();
  // A Submit concurrent with Stop may have queued a task after the workers ended.
  Task task;
  while (Pop(task)) {
    task();
    pending_.fetch_sub(1, std::memory_order_release);
  }
}

}  // namespace oleander
