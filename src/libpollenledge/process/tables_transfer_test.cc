#include "pollenledge/process/tables_transfer.h"

#include <gtest/gtest.h>

#include <random>

namespace pollenledge {
namespace {

const TimePoint kNow{std::chrono::seconds(1000)};

std::string MakeDocument(std::size_t bytes, char content = 'x') {
  std::string document(bytes, content);
  for (std::size_t i = 0; i < bytes; i += 100)
    document[i] = static_cast<char>('a' + i / 100 % 26);
  return document;
}

TEST(TablesTransferTest, LaterTablesAreSentInParts) {
  const std::string document = MakeDocument(20'000);
  TablesAssembly assembly;
  const std::vector<TablesPart> parts =
      MakeTablesParts(7, document, assembly.NextRequest(5, kNow));
  ASSERT_EQ(parts.size(), 3U);
  EXPECT_EQ(assembly.Add(parts[0], 5), std::nullopt);
  EXPECT_EQ(assembly.Add(parts[1], 5), std::nullopt);
  EXPECT_EQ(assembly.Add(parts[2], 5), document);
}

TEST(TablesTransferTest, TablesThatAreNotLaterAreNotSent) {
  const std::string document = MakeDocument(100);
  const TablesAssembly assembly;
  EXPECT_TRUE(
      MakeTablesParts(5, document, assembly.NextRequest(5, kNow)).empty());
  EXPECT_TRUE(
      MakeTablesParts(4, document, assembly.NextRequest(5, kNow)).empty());
  EXPECT_TRUE(MakeTablesParts(7, "", assembly.NextRequest(5, kNow)).empty());
}

TEST(TablesTransferTest, ALostPartIsAskedForAgain) {
  const std::string document = MakeDocument(20'000);
  TablesAssembly assembly;
  const std::vector<TablesPart> parts =
      MakeTablesParts(7, document, assembly.NextRequest(5, kNow));
  assembly.Add(parts[0], 5);
  EXPECT_EQ(assembly.Add(parts[2], 5), std::nullopt);
  {
    SCOPED_TRACE("what has come is not sent once more");
    const std::vector<TablesPart> rest =
        MakeTablesParts(7, document, assembly.NextRequest(5, kNow));
    ASSERT_EQ(rest.size(), 2U);
    assembly.Add(rest[0], 5);
    EXPECT_EQ(assembly.Add(rest[1], 5), document);
  }
}

// Guards against a document that is put together from two versions.
TEST(TablesTransferTest, AnotherVersionStartsAnew) {
  const std::string older = MakeDocument(20'000, 'o');
  const std::string newer = MakeDocument(20'000, 'n');
  TablesAssembly assembly;
  assembly.Add(MakeTablesParts(7, older, assembly.NextRequest(5, kNow))[0], 5);
  const std::vector<TablesPart> parts =
      MakeTablesParts(8, newer, assembly.NextRequest(5, kNow));
  ASSERT_EQ(parts.size(), 3U);
  EXPECT_EQ(assembly.Add(parts[1], 5), std::nullopt);
  EXPECT_EQ(assembly.Add(parts[0], 5), std::nullopt);
  EXPECT_EQ(assembly.Add(parts[1], 5), std::nullopt);
  EXPECT_EQ(assembly.Add(parts[2], 5), newer);
}

// Guards against parts of a faulty or foreign sender that grow without bound.
TEST(TablesTransferTest, PartsThatCannotBeOfADocumentAreDropped) {
  TablesAssembly assembly;
  const std::uint32_t too_large = TablesAssembly::kMaxDocumentBytes + 1;
  EXPECT_EQ(assembly.Add({7, too_large, 0, "x"}, 5), std::nullopt);
  EXPECT_EQ(assembly.Add({7, 2, 0, "xyz"}, 5), std::nullopt);
  EXPECT_EQ(assembly.Add({7, 2, 3, "x"}, 5), std::nullopt);
  EXPECT_EQ(assembly.NextRequest(5, kNow).received_bytes, 0U);
  EXPECT_EQ(assembly.Add({4, 1, 0, "x"}, 5), std::nullopt);
  EXPECT_EQ(assembly.Add({7, 1, 0, "x"}, 5), "x");
}

TEST(TablesTransferTest, ALargeDocumentArrivesThroughLosses) {
  const std::string document = MakeDocument(300'000);
  std::mt19937 random(1);
  TablesAssembly assembly;
  for (int round = 0; round < 1000; ++round) {
    for (const TablesPart& part :
         MakeTablesParts(7, document, assembly.NextRequest(5, kNow))) {
      if (random() % 3 == 0) continue;
      const std::optional<std::string> whole = assembly.Add(part, 5);
      if (!whole.has_value()) continue;
      EXPECT_EQ(*whole, document);
      return;
    }
  }
  FAIL() << "the document did not become whole";
}

}  // namespace
}  // namespace pollenledge
