#pragma once

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace pollenledge {

/// One thing wrong with a YAML document, with the place where it stands.
struct FieldProblem {
  std::string file;
  int line = 0;  ///< One-based; 0 if the document as a whole is meant.
  std::string field;
  std::string found;
  std::string allowed;

  friend bool operator==(const FieldProblem&, const FieldProblem&) = default;
};

/// Renders `problem` as `file:line: field "x": found ..., allowed ...`.
std::string ToString(const FieldProblem& problem);

/// Renders all problems, one a line.
std::string ToString(const std::vector<FieldProblem>& problems);

/// One field that a parser reads, for reference pages and their tests.
struct FieldDescription {
  std::string path;  ///< For example `peers[].address`.
  std::string type;
  std::string range;
  std::string default_value;  ///< "required" if there is none.
  std::string description;

  friend bool operator==(const FieldDescription&,
                         const FieldDescription&) = default;
};

/// What a parse of one document collects: the problems found and the fields
/// that were asked for.
struct FieldLog {
  std::string file;
  std::vector<FieldProblem> problems;
  std::vector<FieldDescription> fields;
};

/// Parses a YAML document by `parse(node, log)` and returns its result, or
/// every problem that was found.
template <typename T, typename Parse>
std::variant<T, std::vector<FieldProblem>> ParseDocument(
    const std::string& text, const std::string& file, Parse parse) {
  FieldLog log{file, {}, {}};
  YAML::Node node;
  try {
    node = YAML::Load(text);
  } catch (const YAML::Exception& error) {
    return std::vector<FieldProblem>{
        {file, error.mark.line + 1, "(document)", error.msg, "a YAML mapping"}};
  }
  T parsed = parse(node, &log);
  if (!log.problems.empty()) return log.problems;
  return parsed;
}

/// The problem of a file that cannot be read.
inline std::vector<FieldProblem> UnreadableFile(const std::string& path,
                                                const std::string& message) {
  return {{path, 0, "(document)", message, "a file that can be read"}};
}

/// Reads the fields of one YAML mapping into typed values.
///
/// Each reading function takes the field's name, its default or bounds, and a
/// description. A missing or malformed value adds a problem to the log and
/// yields the default, so that one parse reports every problem. `Finish`
/// reports unknown fields and names the nearest known one.
///
/// Not thread-safe. The log must outlive the reader.
class FieldReader {
 public:
  FieldReader(const YAML::Node& node, std::string path, FieldLog* log);

  /// A text that must be present and not empty.
  std::string RequiredText(const std::string& name,
                           const std::string& description);
  std::string Text(const std::string& name, const std::string& fallback,
                   const std::string& description);
  /// One of `choices`.
  std::string Choice(const std::string& name,
                     const std::vector<std::string>& choices,
                     const std::string& fallback,
                     const std::string& description);
  std::int64_t Integer(const std::string& name, std::int64_t fallback,
                       std::int64_t min, std::int64_t max,
                       const std::string& description);
  double Number(const std::string& name, double fallback, double min,
                double max, const std::string& description);
  bool Flag(const std::string& name, bool fallback,
            const std::string& description);
  std::vector<std::string> TextList(const std::string& name,
                                    const std::string& description);
  /// A nested mapping; a null node if it is absent.
  YAML::Node Mapping(const std::string& name, const std::string& description);
  /// A list of mappings; a null node if it is absent.
  YAML::Node Sequence(const std::string& name, const std::string& description);

  /// Adds a problem about field `name` at its own line.
  void Report(const std::string& name, const std::string& found,
              const std::string& allowed);

  /// Reports fields that no reading function asked for.
  void Finish();

  /// The line of this mapping, one-based.
  int line() const;

 private:
  YAML::Node Find(const std::string& name, const std::string& type,
                  const std::string& range, const std::string& fallback,
                  const std::string& description);
  std::string PathOf(const std::string& name) const;

  YAML::Node node_;
  std::string path_;
  FieldLog* log_;
  std::vector<std::string> known_;
};

}  // namespace pollenledge
