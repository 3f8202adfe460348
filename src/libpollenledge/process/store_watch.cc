#include "pollenledge/process/store_watch.h"

#include <utility>

#include "pollenledge/process/log.h"

namespace pollenledge {

StoreWatch::StoreWatch(boost::asio::io_context& loop, AsyncStore* store,
                       std::string prefix, Duration poll_delay,
                       std::function<bool()> needs_watch, OnChanges on_changes,
                       OnError on_error)
    : store_(store),
      prefix_(std::move(prefix)),
      pause_(poll_delay),
      needs_watch_(std::move(needs_watch)),
      on_changes_(std::move(on_changes)),
      on_error_(std::move(on_error)),
      timer_(loop) {}

void StoreWatch::OnReadSucceeded(std::int64_t revision) {
  if (running_ || !needs_watch_()) return;
  running_ = true;
  from_revision_ = revision;
  Poll();
}

void StoreWatch::OnReadFailed() {
  ++number_;
  running_ = false;
  timer_.cancel();
}

void StoreWatch::Poll() {
  const std::uint64_t generation = ++number_;
  store_->Watch(prefix_, from_revision_, kWait,
                [this, generation](const Result<StoreChanges>& changes) {
                  if (generation == number_) OnPolled(changes);
                });
}

void StoreWatch::OnPolled(const Result<StoreChanges>& changes) {
  if (!Ok(changes)) {
    // The next successful read provides the revision to continue from.
    running_ = false;
    Log(LogLevel::kInfo, "store_watch_failed",
        {{"prefix", prefix_}, {"error", ErrorOf(changes).message}});
    on_error_(ErrorOf(changes));
    return;
  }
  from_revision_ = Value(changes).store_revision;
  on_changes_(Value(changes));
  if (!needs_watch_()) {
    running_ = false;
    return;
  }
  timer_.expires_after(pause_);
  timer_.async_wait(
      [this, generation = number_](const boost::system::error_code& error) {
        if (!error && generation == number_) Poll();
      });
}

}  // namespace pollenledge
