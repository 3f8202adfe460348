#include "pollenledge/connection/caller_server.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "pollenledge/connection/endpoint.h"

namespace pollenledge {
namespace {

using boost::asio::ip::tcp;
using SystemError = boost::system::error_code;

constexpr int kListenBacklog = 1024;
constexpr Duration kAcceptPause = std::chrono::milliseconds(50);
/// Closed connections are forgotten when there are this many, and then whenever
/// the number has doubled.
constexpr std::size_t kPruneThreshold = 256;

}  // namespace

CallerServer::CallerServer(boost::asio::io_context& loop,
                           const std::string& address, CallerHandlers handlers)
    : acceptor_(loop),
      accept_timer_(loop),
      handlers_(std::make_shared<const CallerHandlers>(std::move(handlers))),
      prune_at_(kPruneThreshold) {
  const Result<tcp::endpoint> endpoint = ParseTcpEndpoint(address);
  if (!Ok(endpoint)) throw std::runtime_error(ErrorOf(endpoint).message);
  acceptor_.open(Value(endpoint).protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  // Accepted sockets inherit the sizes, also while they wait to be accepted.
  acceptor_.set_option(boost::asio::socket_base::receive_buffer_size(
      CallerConnection::kReceiveBufferBytes));
  acceptor_.set_option(boost::asio::socket_base::send_buffer_size(
      CallerConnection::kSendBufferBytes));
  acceptor_.bind(Value(endpoint));
  acceptor_.listen(kListenBacklog);
  Accept();
}

void CallerServer::Accept() {
  acceptor_.async_accept([this](const SystemError& error, tcp::socket socket) {
    if (error == boost::asio::error::operation_aborted) return;
    if (error) {
      AcceptLater();
      return;
    }
    Serve(std::move(socket));
    Accept();
  });
}

void CallerServer::Serve(tcp::socket socket) {
  auto connection =
      std::make_shared<CallerConnection>(std::move(socket), handlers_);
  if (connections_.size() >= prune_at_)
    prune_at_ = std::max(kPruneThreshold, 2 * CountOpenConnections());
  connections_.push_back(connection);
  if (close_after_responses_) connection->CloseAfterResponse();
  connection->Start();
}

void CallerServer::AcceptWaiting() {
  SystemError error;
  acceptor_.non_blocking(true, error);
  while (!error) {
    tcp::socket socket = acceptor_.accept(error);
    if (!error) Serve(std::move(socket));
  }
}

void CallerServer::AcceptLater() {
  accept_timer_.expires_after(kAcceptPause);
  accept_timer_.async_wait([this](const SystemError& error) {
    if (!error && acceptor_.is_open()) Accept();
  });
}

void CallerServer::StopAccepting() {
  if (!acceptor_.is_open()) return;
  accept_timer_.cancel();
  AcceptWaiting();
  SystemError ignored;  // The acceptor is unusable in either case.
  acceptor_.close(ignored);
}

void CallerServer::CloseAfterResponses() {
  close_after_responses_ = true;
  for (const std::weak_ptr<CallerConnection>& weak : connections_) {
    if (const auto connection = weak.lock()) connection->CloseAfterResponse();
  }
}

void CallerServer::CloseIdleConnections() {
  for (const std::weak_ptr<CallerConnection>& weak : connections_) {
    if (const auto connection = weak.lock()) connection->CloseWhenIdle();
  }
}

std::size_t CallerServer::CountOpenConnections() {
  connections_.erase(
      std::remove_if(connections_.begin(), connections_.end(),
                     [](const std::weak_ptr<CallerConnection>& weak) {
                       const auto connection = weak.lock();
                       return connection == nullptr || !connection->open();
                     }),
      connections_.end());
  return connections_.size();
}

}  // namespace pollenledge
