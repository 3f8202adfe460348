// Prints a reference page as a Markdown table.
//
// reference_pages [settings|node|tables]
//
// The pages describe the settings of the entry and control agent (the default),
// the settings of the forwarding node, and the tables.

#include <iostream>
#include <string>
#include <vector>

#include "pollenledge/process/node_settings.h"
#include "pollenledge/process/settings.h"
#include "pollenledge/version/tables.h"

namespace {

std::vector<pollenledge::FieldDescription> FieldsOfPage(
    const std::string& page) {
  if (page == "tables") return pollenledge::DescribeTableFields();
  if (page == "node") return pollenledge::DescribeNodeSettings();
  return pollenledge::DescribeSettings();
}

}  // namespace

int main(int argc, char** argv) {
  std::cout << "| field | type | range | default | meaning |\n"
               "| --- | --- | --- | --- | --- |\n";
  for (const pollenledge::FieldDescription& field :
       FieldsOfPage(argc > 1 ? argv[1] : "settings")) {
    std::cout << "| `" << field.path << "` | " << field.type << " | "
              << field.range << " | " << field.default_value << " | "
              << field.description << " |\n";
  }
  return 0;
}
