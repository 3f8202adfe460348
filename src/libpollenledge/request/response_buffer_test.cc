#include "pollenledge/request/response_buffer.h"

#include <gtest/gtest.h>

#include <thread>

namespace pollenledge {
namespace {

constexpr Duration kReadTimeout = std::chrono::seconds(10);

TEST(ResponseBufferTest, ConcurrentReadersSeeAllBytesUntilTheEnd) {
  ResponseBuffer buffer;
  std::string expected;
  for (int i = 0; i < 500; ++i) expected += "event " + std::to_string(i);
  std::vector<std::string> received(3);
  std::vector<std::thread> readers;
  readers.reserve(received.size());
  for (std::string& text : received) {
    readers.emplace_back([&buffer, &text] {
      while (true) {
        const ResponseChunk chunk = buffer.Read(text.size(), kReadTimeout);
        text += chunk.data;
        if (chunk.finished && chunk.data.empty()) return;
      }
    });
  }
  buffer.Start(200, "text/event-stream");
  for (int i = 0; i < 500; ++i) {
    buffer.AppendEvent("event " + std::to_string(i), 1);
  }
  buffer.Finish();
  for (std::thread& reader : readers) reader.join();
  for (const std::string& text : received) EXPECT_EQ(text, expected);
  EXPECT_EQ(buffer.tokens(), 500);
}

TEST(ResponseBufferTest, NonStreamingBodyIsReadWholeWhenFinished) {
  ResponseBuffer buffer;
  buffer.Start(200, "application/json");
  buffer.AppendEvent("data: {}\n\n", 1);
  buffer.SetWholeBody("{\"whole\":true}");
  buffer.Finish();
  const ResponseChunk chunk = buffer.Read(0, kReadTimeout);
  EXPECT_EQ(chunk.data, "{\"whole\":true}");
  EXPECT_TRUE(chunk.finished);
  EXPECT_EQ(buffer.Events(), "data: {}\n\n");
}

}  // namespace
}  // namespace pollenledge
