#include "pollenledge/connection/heartbeat_link.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <boost/asio/buffer.hpp>
#include <cstring>
#include <stdexcept>
#include <utility>

#include "pollenledge/connection/endpoint.h"
#include "pollenledge/process/log.h"
#include "wire_codec.h"

namespace pollenledge {
namespace {

using boost::asio::ip::udp;
using SystemError = boost::system::error_code;

Result<std::vector<MemberRecord>> Decode(const char* bytes, std::size_t size) {
  // Cap'n Proto reads whole, aligned words.
  auto words = kj::heapArray<capnp::word>(size / sizeof(capnp::word));
  std::memcpy(words.begin(), bytes, words.size() * sizeof(capnp::word));
  std::vector<MemberRecord> records;
  kj::Maybe<kj::Exception> problem = kj::runCatchingExceptions([&] {
    capnp::FlatArrayMessageReader reader(words);
    const auto heartbeat = reader.getRoot<wire::Peer::HeartbeatParams>();
    for (const auto record : heartbeat.getRecords()) {
      records.push_back(FromWire(record));
    }
  });
  KJ_IF_MAYBE (exception, problem) {
    return Error{ErrorCode::kInvalidArgument,
                 exception->getDescription().cStr()};
  }
  return records;
}

}  // namespace

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
  capnp::MallocMessageBuilder builder;
  auto heartbeat = builder.initRoot<wire::Peer::HeartbeatParams>();
  auto records =
      heartbeat.initRecords(static_cast<unsigned>(message.records.size()));
  for (unsigned i = 0; i < records.size(); ++i) {
    ToWire(message.records[i], records[i]);
  }
  const kj::Array<capnp::word> words = capnp::messageToFlatArray(builder);
  const kj::ArrayPtr<const kj::byte> bytes = words.asBytes();
  SystemError ignored;  // A lost heartbeat is made good by the next.
  socket_.send_to(boost::asio::buffer(bytes.begin(), bytes.size()),
                  Value(endpoint), 0, ignored);
}

void HeartbeatLink::Receive() {
  socket_.async_receive_from(
      boost::asio::buffer(buffer_), sender_,
      [this](const SystemError& error, std::size_t size) {
        if (error == boost::asio::error::operation_aborted) return;
        if (!error) {
          Result<std::vector<MemberRecord>> records =
              Decode(buffer_.data(), size);
          if (Ok(records)) {
            on_heartbeat_(std::move(Value(records)));
          } else {
            Log(LogLevel::kWarn, "heartbeat_malformed",
                {{"error", ErrorOf(records).message}});
          }
        }
        Receive();
      });
}

}  // namespace pollenledge
