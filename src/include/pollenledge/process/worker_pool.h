#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace pollenledge {

/// A fixed number of threads that run jobs in the order given.
///
/// Thread-safe. Its lock is never held while a job runs, and it may be taken
/// under no other lock of the system.
class WorkerPool {
 public:
  /// At most `max_waiting` jobs wait; further ones are refused.
  WorkerPool(std::size_t threads, std::size_t max_waiting);
  /// Stops the pool.
  ~WorkerPool();

  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  /// Queues `job`. False if too many wait already, or after `Stop`.
  bool Run(std::function<void()> job);

  /// Finishes the jobs that wait and joins the threads. Call from one thread.
  void Stop();

 private:
  void Work();

  const std::size_t max_waiting_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<std::function<void()>> jobs_;
  bool stopping_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace pollenledge
