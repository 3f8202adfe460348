#pragma once

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace pollenledge {

/// One error in a YAML document, with its location.
struct FieldProblem {
  std::string file;
  int line = 0;  ///< One-based; 0 if the error concerns the whole document.
  std::string field;
  std::string found;
  std::string allowed;

  friend bool operator==(const FieldProblem&, const FieldProblem&) = default;
};

/// Formats `problem` as `file:line: field "x": found ..., allowed ...`.
std::string ToString(const FieldProblem& problem);

/// Formats all problems, one per line.
std::string ToString(const std::vector<FieldProblem>& problems);

/// Describes one field that a parser reads, for the reference pages and their
/// tests.
struct FieldDescription {
  std::string path;  ///< For example `peers[].address`.
  std::string type;
  std::string range;
  std::string default_value;  ///< "required" if the field has no default.
  std::string description;

  friend bool operator==(const FieldDescription&,
                         const FieldDescription&) = default;
};

/// Collects the problems found while parsing one document, and descriptions of
/// the fields that the parser read.
struct FieldLog {
  std::string file;
  std::vector<FieldProblem> problems;
  std::vector<FieldDescription> fields;
};

/// Parses a YAML document with `parse(node, log)` and returns its result, or
/// all problems found.
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

/// Returns the problem to report for a file that cannot be read.
inline std::vector<FieldProblem> UnreadableFileProblem(
    const std::string& path, const std::string& message) {
  return {{path, 0, "(document)", message, "a file that can be read"}};
}

/// Reads the fields of one YAML mapping into typed values.
///
/// Each read method takes the name of the field, its default or bounds, and a
/// description. A malformed value, or a missing required one, adds a problem to
/// the log and yields the default, so that one parse reports all problems.
/// `ReportUnknownFields` reports unknown fields and suggests the known field
/// with the most similar name.
///
/// Not thread-safe. The log must outlive the reader.
class FieldReader {
 public:
  FieldReader(const YAML::Node& node, std::string path, FieldLog* log);

  /// A string that must be present and non-empty.
  std::string RequiredString(const std::string& name,
                             const std::string& description);
  /// A string; `default_value` if it is absent.
  std::string String(const std::string& name, const std::string& default_value,
                     const std::string& description);
  /// One of the strings in `choices`.
  std::string Choice(const std::string& name,
                     const std::vector<std::string>& choices,
                     const std::string& default_value,
                     const std::string& description);
  /// An integer from `min` to `max`.
  std::int64_t Integer(const std::string& name, std::int64_t default_value,
                       std::int64_t min, std::int64_t max,
                       const std::string& description);
  /// A number from `min` to `max`.
  double Number(const std::string& name, double default_value, double min,
                double max, const std::string& description);
  /// A boolean.
  bool Bool(const std::string& name, bool default_value,
            const std::string& description);
  /// A list of non-empty strings; empty if it is absent.
  std::vector<std::string> StringList(const std::string& name,
                                      const std::string& description);
  /// The same, for a list whose absence means something else than an empty
  /// list. `absent` describes what it means.
  std::optional<std::vector<std::string>> OptionalStringList(
      const std::string& name, const std::string& absent,
      const std::string& description);
  /// A nested mapping; a null node if it is absent.
  YAML::Node Mapping(const std::string& name, const std::string& description);
  /// A list of mappings; a null node if it is absent.
  YAML::Node Sequence(const std::string& name, const std::string& description);

  /// Adds a problem about field `name`, at the line of its value.
  void ReportProblem(const std::string& name, const std::string& found,
                     const std::string& allowed);

  /// Reports the fields of the mapping that no read method was called for.
  void ReportUnknownFields();

  /// The line of this mapping, one-based; 0 if unknown.
  int line() const;

 private:
  /// Records the field's description and returns its value, which is undefined
  /// if the field is absent.
  YAML::Node Find(const std::string& name, const std::string& type,
                  const std::string& range, const std::string& default_value,
                  const std::string& description);
  std::string PathOf(const std::string& name) const;
  /// Returns the strings of the list `value`, which is the value of `name`.
  std::vector<std::string> ReadStrings(const std::string& name,
                                       const YAML::Node& value);

  YAML::Node node_;
  std::string path_;
  FieldLog* log_;
  std::vector<std::string> known_fields_;
};

}  // namespace pollenledge
