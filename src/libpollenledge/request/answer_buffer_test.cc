#include "pollenledge/request/answer_buffer.h"

#include <gtest/gtest.h>

#include <thread>

namespace pollenledge {
namespace {

constexpr Duration kWait = std::chrono::seconds(10);

TEST(AnswerBufferTest, ReadersFollowAWriterToTheEnd) {
  AnswerBuffer buffer;
  std::string expected;
  for (int i = 0; i < 500; ++i) expected += "event " + std::to_string(i);
  std::vector<std::string> read(3);
  std::vector<std::thread> readers;
  readers.reserve(read.size());
  for (std::string& text : read) {
    readers.emplace_back([&buffer, &text] {
      while (true) {
        const AnswerPart part = buffer.Read(text.size(), kWait);
        text += part.data;
        if (part.finished && part.data.empty()) return;
      }
    });
  }
  buffer.Start(200, "text/event-stream");
  for (int i = 0; i < 500; ++i) {
    buffer.AppendEvent("event " + std::to_string(i), 1);
  }
  buffer.Finish();
  for (std::thread& reader : readers) reader.join();
  for (const std::string& text : read) EXPECT_EQ(text, expected);
  EXPECT_EQ(buffer.tokens(), 500);
}

TEST(AnswerBufferTest, AWholeAnswerIsSeenAtItsEndOnly) {
  AnswerBuffer buffer;
  buffer.Start(200, "application/json");
  buffer.AppendEvent("data: {}\n\n", 1);
  buffer.SetWholeBody("{\"whole\":true}");
  buffer.Finish();
  const AnswerPart part = buffer.Read(0, kWait);
  EXPECT_EQ(part.data, "{\"whole\":true}");
  EXPECT_TRUE(part.finished);
  EXPECT_EQ(buffer.Events(), "data: {}\n\n");
}

}  // namespace
}  // namespace pollenledge
