#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace pollenledge {

/// A fixed number of threads that run jobs in FIFO order.
///
/// Thread-safe. The pool's lock is not held while a job runs, and no other lock
/// of the system may be held when a function of the pool is called.
class WorkerPool {
 public:
  /// Starts `thread_count` threads. At most `max_queued_jobs` jobs are queued;
  /// further ones are rejected.
  WorkerPool(std::size_t thread_count, std::size_t max_queued_jobs);
  /// Calls `Stop`.
  ~WorkerPool();

  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  /// Queues `job`. Returns false if the queue is full, or after `Stop`.
  bool Submit(std::function<void()> job);

  /// Runs the queued jobs and joins the threads. Call it from one thread only.
  void Stop();

 private:
  void RunJobs();

  const std::size_t max_queued_jobs_;
  std::mutex mutex_;
  std::condition_variable jobs_changed_;
  std::deque<std::function<void()>> jobs_;
  bool stopping_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace pollenledge
