// Prints the reference pages of the settings and the tables.

#include <cstring>
#include <iostream>

#include "pollenledge/process/settings.h"
#include "pollenledge/version/tables.h"

int main(int argc, char** argv) {
  const bool tables = argc > 1 && std::strcmp(argv[1], "tables") == 0;
  std::cout << "| field | type | range | default | meaning |\n"
               "| --- | --- | --- | --- | --- |\n";
  for (const pollenledge::FieldDescription& field :
       tables ? pollenledge::DescribeTableFields()
              : pollenledge::DescribeSettings()) {
    std::cout << "| `" << field.path << "` | " << field.type << " | "
              << field.range << " | " << field.default_value << " | "
              << field.description << " |\n";
  }
  return 0;
}
