#include "pollenledge/version/field_reader.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace pollenledge {
namespace {

int LineOf(const YAML::Node& node) {
  return node.IsDefined() && !node.Mark().is_null() ? node.Mark().line + 1 : 0;
}

std::string DescribeValue(const YAML::Node& node) {
  if (!node.IsDefined()) return "nothing";
  switch (node.Type()) {
    case YAML::NodeType::Scalar:
      return "\"" + node.Scalar() + "\"";
    case YAML::NodeType::Sequence:
      return "a list";
    case YAML::NodeType::Map:
      return "a mapping";
    default:
      return "nothing";
  }
}

// Levenshtein distance. Stores only one row of the distance table.
std::size_t EditDistance(const std::string& a, const std::string& b) {
  std::vector<std::size_t> row(b.size() + 1);
  for (std::size_t j = 0; j <= b.size(); ++j) row[j] = j;
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t substitute = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, substitute});
    }
  }
  return row[b.size()];
}

std::string FindNearestName(const std::string& name,
                            const std::vector<std::string>& known) {
  std::string best;
  std::size_t best_distance = name.size() + 1;
  for (const std::string& candidate : known) {
    const std::size_t distance = EditDistance(name, candidate);
    if (distance < best_distance) {
      best_distance = distance;
      best = candidate;
    }
  }
  return best;
}

template <typename T>
std::string FormatRange(T min, T max) {
  std::ostringstream out;
  out << min << " to " << max;
  return out.str();
}

template <typename T>
std::string FormatValue(T value) {
  std::ostringstream out;
  out << value;
  return out.str();
}

}  // namespace

std::string ToString(const FieldProblem& problem) {
  std::ostringstream out;
  out << problem.file;
  if (problem.line > 0) out << ':' << problem.line;
  out << ": field \"" << problem.field << "\": found " << problem.found
      << ", allowed: " << problem.allowed;
  return out.str();
}

std::string ToString(const std::vector<FieldProblem>& problems) {
  std::string text;
  for (const FieldProblem& problem : problems) {
    if (!text.empty()) text += '\n';
    text += ToString(problem);
  }
  return text;
}

FieldReader::FieldReader(const YAML::Node& node, std::string path,
                         FieldLog* log)
    : node_(node), path_(std::move(path)), log_(log) {
  if (node_.IsDefined() && !node_.IsNull() && !node_.IsMap()) {
    log_->problems.push_back({log_->file, LineOf(node_),
                              path_.empty() ? "(document)" : path_,
                              DescribeValue(node_), "a mapping of fields"});
    node_ = YAML::Node(YAML::NodeType::Map);
  }
}

std::string FieldReader::RequiredString(const std::string& name,
                                        const std::string& description) {
  const YAML::Node value =
      Find(name, "string", "non-empty", "required", description);
  if (value.IsDefined() && value.IsScalar() && !value.Scalar().empty()) {
    return value.Scalar();
  }
  ReportProblem(name, DescribeValue(value), "a non-empty string");
  return "";
}

std::string FieldReader::String(const std::string& name,
                                const std::string& default_value,
                                const std::string& description) {
  const YAML::Node value =
      Find(name, "string", "any", default_value, description);
  if (!value.IsDefined()) return default_value;
  if (value.IsScalar()) return value.Scalar();
  ReportProblem(name, DescribeValue(value), "a string");
  return default_value;
}

std::string FieldReader::Choice(const std::string& name,
                                const std::vector<std::string>& choices,
                                const std::string& default_value,
                                const std::string& description) {
  std::string allowed;
  for (const std::string& choice : choices) {
    allowed += allowed.empty() ? choice : ", " + choice;
  }
  const YAML::Node value =
      Find(name, "choice", allowed, default_value, description);
  if (!value.IsDefined()) return default_value;
  if (value.IsScalar() && std::find(choices.begin(), choices.end(),
                                    value.Scalar()) != choices.end()) {
    return value.Scalar();
  }
  ReportProblem(name, DescribeValue(value), "one of " + allowed);
  return default_value;
}

std::int64_t FieldReader::Integer(const std::string& name,
                                  std::int64_t default_value, std::int64_t min,
                                  std::int64_t max,
                                  const std::string& description) {
  const std::string range = FormatRange(min, max);
  const YAML::Node value =
      Find(name, "integer", range, FormatValue(default_value), description);
  if (!value.IsDefined()) return default_value;
  std::int64_t number = 0;
  if (value.IsScalar() && YAML::convert<std::int64_t>::decode(value, number) &&
      number >= min && number <= max) {
    return number;
  }
  ReportProblem(name, DescribeValue(value), "an integer from " + range);
  return default_value;
}

double FieldReader::Number(const std::string& name, double default_value,
                           double min, double max,
                           const std::string& description) {
  const std::string range = FormatRange(min, max);
  const YAML::Node value =
      Find(name, "number", range, FormatValue(default_value), description);
  if (!value.IsDefined()) return default_value;
  double number = 0;
  if (value.IsScalar() && YAML::convert<double>::decode(value, number) &&
      number >= min && number <= max) {
    return number;
  }
  ReportProblem(name, DescribeValue(value), "a number from " + range);
  return default_value;
}

bool FieldReader::Bool(const std::string& name, bool default_value,
                       const std::string& description) {
  const YAML::Node value = Find(name, "boolean", "true, false",
                                default_value ? "true" : "false", description);
  if (!value.IsDefined()) return default_value;
  bool flag = false;
  if (value.IsScalar() && YAML::convert<bool>::decode(value, flag)) return flag;
  ReportProblem(name, DescribeValue(value), "true or false");
  return default_value;
}

std::vector<std::string> FieldReader::StringList(
    const std::string& name, const std::string& description) {
  const YAML::Node value =
      Find(name, "list of strings", "any", "empty", description);
  if (!value.IsDefined()) return {};
  return ReadStrings(name, value);
}

std::optional<std::vector<std::string>> FieldReader::OptionalStringList(
    const std::string& name, const std::string& absent,
    const std::string& description) {
  const YAML::Node value =
      Find(name, "list of strings", "any", absent, description);
  if (!value.IsDefined()) return std::nullopt;
  return ReadStrings(name, value);
}

std::vector<std::string> FieldReader::ReadStrings(const std::string& name,
                                                  const YAML::Node& value) {
  std::vector<std::string> texts;
  if (!value.IsSequence()) {
    ReportProblem(name, DescribeValue(value), "a list of strings");
    return texts;
  }
  for (const YAML::Node& item : value) {
    if (item.IsScalar() && !item.Scalar().empty()) {
      texts.push_back(item.Scalar());
    } else {
      ReportProblem(name, DescribeValue(item), "non-empty strings");
    }
  }
  return texts;
}

YAML::Node FieldReader::Mapping(const std::string& name,
                                const std::string& description) {
  const YAML::Node value = Find(name, "mapping", "", "empty", description);
  if (!value.IsDefined()) return YAML::Node();
  if (value.IsMap()) return value;
  ReportProblem(name, DescribeValue(value), "a mapping");
  return YAML::Node();
}

YAML::Node FieldReader::Sequence(const std::string& name,
                                 const std::string& description) {
  const YAML::Node value =
      Find(name, "list of mappings", "", "empty", description);
  if (!value.IsDefined() || value.IsNull()) return YAML::Node();
  if (value.IsSequence()) return value;
  ReportProblem(name, DescribeValue(value), "a list");
  return YAML::Node();
}

void FieldReader::ReportProblem(const std::string& name,
                                const std::string& found,
                                const std::string& allowed) {
  int where = line();
  if (node_.IsMap()) {
    const YAML::Node value = std::as_const(node_)[name];
    if (value.IsDefined()) where = LineOf(value);
  }
  log_->problems.push_back({log_->file, where, PathOf(name), found, allowed});
}

void FieldReader::ReportUnknownFields() {
  if (!node_.IsMap()) return;
  for (const auto& entry : node_) {
    const std::string name =
        entry.first.IsScalar() ? entry.first.Scalar() : "(not a string)";
    if (std::find(known_fields_.begin(), known_fields_.end(), name) !=
        known_fields_.end())
      continue;
    log_->problems.push_back(
        {log_->file, LineOf(entry.first), PathOf(name), "an unknown field",
         "did you mean \"" + FindNearestName(name, known_fields_) + "\"?"});
  }
}

int FieldReader::line() const { return LineOf(node_); }

YAML::Node FieldReader::Find(const std::string& name, const std::string& type,
                             const std::string& range,
                             const std::string& default_value,
                             const std::string& description) {
  known_fields_.push_back(name);
  log_->fields.push_back(
      {PathOf(name), type, range, default_value, description});
  if (!node_.IsMap()) return YAML::Node(YAML::NodeType::Undefined);
  return std::as_const(node_)[name];
}

std::string FieldReader::PathOf(const std::string& name) const {
  return path_.empty() ? name : path_ + "." + name;
}

}  // namespace pollenledge
