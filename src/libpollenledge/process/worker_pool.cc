#include "pollenledge/process/worker_pool.h"

#include <utility>

namespace pollenledge {

WorkerPool::WorkerPool(std::size_t thread_count, std::size_t max_queued_jobs)
    : max_queued_jobs_(max_queued_jobs) {
  threads_.reserve(thread_count);
  for (std::size_t i = 0; i < thread_count; ++i) {
    threads_.emplace_back([this] { RunJobs(); });
  }
}

WorkerPool::~WorkerPool() { Stop(); }

void WorkerPool::Stop() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  jobs_changed_.notify_all();
  for (std::thread& thread : threads_) thread.join();
  threads_.clear();
}

bool WorkerPool::Submit(std::function<void()> job) {
  {
    const std::lock_guard lock(mutex_);
    if (stopping_ || jobs_.size() >= max_queued_jobs_) return false;
    jobs_.push_back(std::move(job));
  }
  jobs_changed_.notify_one();
  return true;
}

void WorkerPool::RunJobs() {
  while (true) {
    std::function<void()> job;
    {
      std::unique_lock lock(mutex_);
      jobs_changed_.wait(lock, [this] { return stopping_ || !jobs_.empty(); });
      if (jobs_.empty()) return;
      job = std::move(jobs_.front());
      jobs_.pop_front();
    }
    job();
  }
}

}  // namespace pollenledge
