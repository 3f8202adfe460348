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
      poll_delay_(poll_delay),
      needs_watch_(std::move(needs_watch)),
      on_changes_(std::move(on_changes)),
      on_error_(std::move(on_error)),
      timer_(loop) {}

void StoreWatch::OnReadSucceeded(std::int64_t revision) {
  if (polling_ || !needs_watch_()) return;
  polling_ = true;
  after_revision_ = revision;
  Poll();
}

void StoreWatch::OnReadFailed() {
  ++generation_;
  polling_ = false;
  timer_.cancel();
}

void StoreWatch::Poll() {
  const std::uint64_t generation = ++generation_;
  store_->Watch(prefix_, after_revision_, kPollTimeout,
                [this, generation](const Result<StoreChanges>& changes) {
                  if (generation == generation_) OnPolled(changes);
                });
}

void StoreWatch::OnPolled(const Result<StoreChanges>& changes) {
  if (!Ok(changes)) {
    // The next successful read provides the revision to continue from.
    polling_ = false;
    Log(LogLevel::kInfo, "store_watch_failed",
        {{"prefix", prefix_}, {"error", ErrorOf(changes).message}});
    on_error_(ErrorOf(changes));
    return;
  }
  after_revision_ = Value(changes).store_revision;
  on_changes_(Value(changes));
  if (!needs_watch_()) {
    polling_ = false;
    return;
  }
  timer_.expires_after(poll_delay_);
  timer_.async_wait(
      [this, generation = generation_](const boost::system::error_code& error) {
        if (!error && generation == generation_) Poll();
      });
}

}  // namespace pollenledge
