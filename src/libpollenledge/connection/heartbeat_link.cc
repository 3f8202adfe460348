#include "pollenledge/connection/heartbeat_link.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <boost/asio/buffer.hpp>
#include <cstring>
#include <stdexcept>
#include <utility>

#include "heartbeat_codec.h"
#include "pollenledge/connection/endpoint.h"
#include "pollenledge/process/log.h"
#include "wire_codec.h"

namespace pollenledge {
namespace {

using boost::asio::ip::udp;
using SystemError = boost::system::error_code;

}  // namespace

std::string EncodeHeartbeat(const Heartbeat& heartbeat) {
  capnp::MallocMessageBuilder builder;
  ToWire(heartbeat, builder.initRoot<wire::NodeHeartbeat>());
  const kj::Array<capnp::word> words = capnp::messageToFlatArray(builder);
  const kj::ArrayPtr<const char> bytes = words.asChars();
  return {bytes.begin(), bytes.size()};
}

Result<Heartbeat> DecodeHeartbeat(const char* bytes, std::size_t size) {
  // Cap'n Proto requires word-aligned input; a partial last word is dropped.
  auto words = kj::heapArray<capnp::word>(size / sizeof(capnp::word));
  std::memcpy(words.begin(), bytes, words.size() * sizeof(capnp::word));
  Heartbeat heartbeat;
  kj::Maybe<kj::Exception> failure = kj::runCatchingExceptions([&] {
    capnp::FlatArrayMessageReader reader(words);
    heartbeat = FromWire(reader.getRoot<wire::NodeHeartbeat>());
  });
  KJ_IF_MAYBE (exception, failure) {
    return Error{ErrorCode::kInvalidArgument,
                 exception->getDescription().cStr()};
  }
  if (heartbeat.records.empty()) {
    return Error{ErrorCode::kInvalidArgument, "the sender's record is missing"};
  }
  return heartbeat;
}

HeartbeatLink::HeartbeatLink(boost::asio::io_context& loop,
                             const std::string& address, Callback on_heartbeat)
    : socket_(loop), on_heartbeat_(std::move(on_heartbeat)) {
  const Result<udp::endpoint> endpoint = ParseUdpEndpoint(address);
  if (!Ok(endpoint)) throw std::runtime_error(ErrorOf(endpoint).message);
  socket_.open(Value(endpoint).protocol());
  socket_.bind(Value(endpoint));
  socket_.non_blocking(true);
  Receive();
}

void HeartbeatLink::Send(const HeartbeatMessage& message) {
  const Result<udp::endpoint> endpoint = ParseUdpEndpoint(message.address);
  if (!Ok(endpoint)) {
    Log(LogLevel::kWarn, "peer_address_invalid",
        {{"error", ErrorOf(endpoint).message}});
    return;
  }
  const std::string bytes = EncodeHeartbeat(message.heartbeat);
  SystemError error;  // The next heartbeat replaces a lost one.
  traffic_.sent_bytes +=
      socket_.send_to(boost::asio::buffer(bytes), Value(endpoint), 0, error);
  if (error) ++traffic_.send_failures;
}

void HeartbeatLink::Receive() {
  socket_.async_receive_from(
      boost::asio::buffer(buffer_), sender_,
      [this](const SystemError& error, std::size_t size) {
        if (error == boost::asio::error::operation_aborted) return;
        if (!error) {
          traffic_.received_bytes += size;
          Result<Heartbeat> heartbeat = DecodeHeartbeat(buffer_.data(), size);
          if (Ok(heartbeat)) {
            on_heartbeat_(std::move(Value(heartbeat)));
          } else {
            Log(LogLevel::kWarn, "heartbeat_malformed",
                {{"error", ErrorOf(heartbeat).message}});
          }
        }
        Receive();
      });
}

}  // namespace pollenledge
