// A fixed-size thread pool with a bounded lock-free queue.
//
// The request path submits work to such pools (hedges, streamed generations). The queue is lock-free so that
// a thread that is descheduled while holding a lock cannot block Submit or the workers.
#ifndef OLEANDER_HOSTS_TASK_POOL_H_
#define OLEANDER_HOSTS_TASK_POOL_H_

#include <semaphore.h>

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

#include "absl/time/time.h"

namespace oleander {

using Task = std::function<void()>;

// POSIX semaphore; Post and Wait take no lock.
class Semaphore {
 public:
  Semaphore();
  ~Semaphore();
  Semaphore(const Semaphore&) = delete;
  Semaphore& operator=(const Semaphore&) = delete;
  void Post();
  void Wait();
  // Returns false if the deadline passes. InfiniteFuture waits without a limit.
  bool WaitUntil(absl::Time deadline);

 private:
  sem_t sem_;
};

class TaskPool {
 public:
  // `capacity` is rounded up to a power of two.
  TaskPool(int threads, std::size_t capacity);
  ~TaskPool();
  TaskPool(const TaskPool&) = delete;
  TaskPool& operator=(const TaskPool&) = delete;

  // Returns false, without queueing the task, if the queue is full or the pool is stopping.
  bool Submit(Task task);
  // Like Submit, but also returns false if no thread is idle.
  bool SubmitIfIdle(Task task);
  // Number of tasks queued or running.
  int Pending() const { return pending_.load(std::memory_order_relaxed); }
  // Runs all queued tasks, then joins the threads.
  void Stop();

 private:
  // One cell of a bounded multi-producer multi-consumer ring buffer. `sequence` is p while the cell is
  // free for the push at position p, and p + 1 while it holds the task of that push.
  struct Cell {
    std::atomic<std::size_t> sequence{0};
    Task task;
  };
  bool Push(Task& task);
  bool Pop(Task& task);
  void RunWorker();

  std::size_t mask_;
  std::unique_ptr<Cell[]> cells_;
  alignas(64) std::atomic<std::size_t> head_{0};
  alignas(64) std::atomic<std::size_t> tail_{0};
  alignas(64) std::atomic<int> pending_{0};
  std::atomic<bool> stopping_{false};
  Semaphore ready_;
  std::vector<std::thread> threads_;
};

}  // namespace oleander

#endif  // OLEANDER_HOSTS_TASK_POOL_H_
