#include "sql_classifier.h"

#include "known_names.h"
#include "parse_bounds.h"
#include "token_scanner.h"

#include <pg_query.h>
#include <rapidjson/document.h>

#include <optional>
#include <utility>
#include <vector>

namespace gorsebeam::sql_classifier {
namespace {

using Json = rapidjson::Value;
using FunctionSet = std::set<std::string>;

/// Parses a statement and owns the result.
class ParseResult {
public:
  explicit ParseResult(const std::string& statement) : result_(pg_query_parse(statement.c_str())) {}

  ParseResult(const ParseResult&) = delete;
  ParseResult& operator=(const ParseResult&) = delete;

  ~ParseResult() { pg_query_free_parse_result(result_); }

  /// The error message; null if the statement was parsed.
  [[nodiscard]] const char* error() const {
    return result_.error ? result_.error->message : nullptr;
  }

  /// The syntax tree in JSON.
  [[nodiscard]] const char* tree() const { return result_.parse_tree; }

private:
  PgQueryParseResult result_;
};

/// The text of a node `{"String": {"sval": TEXT}}`; nothing for any other node.
std::optional<std::string> string_node_text(const Json& node) {
  if (!node.IsObject())
    return std::nullopt;
  const auto string = node.FindMember("String");
  if (string == node.MemberEnd() || !string->value.IsObject())
    return std::nullopt;
  const auto text = string->value.FindMember("sval");
  if (text == string->value.MemberEnd() || !text->value.IsString())
    return std::nullopt;
  return text->value.GetString();
}

std::string join_with_dots(const std::vector<std::string>& parts) {
  std::string joined;
  for (const std::string& part : parts) {
    if (!joined.empty())
      joined += '.';
    joined += part;
  }
  return joined;
}

/// Whether a qualified name may be that of a built-in: it has no schema, or the schema pg_catalog.
bool can_be_built_in(const std::vector<std::string>& parts) {
  return parts.size() == 1 || (parts.size() == 2 && parts[0] == "pg_catalog");
}

/// The names of one kind, such as functions, that only read.
struct KnownNames {
  const char* kind;  ///< Starts the reason that is given for a name that is not known.
  const NameSet& built_in;
  const FunctionSet* additional = nullptr;  ///< The operators' own names; null if there are none.
};

bool is_known(const std::vector<std::string>& name, const KnownNames& known) {
  if (can_be_built_in(name) && known.built_in.count(name.back()) != 0)
    return true;
  return known.additional != nullptr && known.additional->count(join_with_dots(name)) != 0;
}

/// The array in `field` of `node`; null if there is none.
const Json* find_array(const Json& node, const char* field) {
  if (!node.IsObject())
    return nullptr;
  const auto found = node.FindMember(field);
  return found != node.MemberEnd() && found->value.IsArray() ? &found->value : nullptr;
}

int severity(Effect effect) {
  switch (effect) {
  case Effect::Read:
    return 0;
  case Effect::Unknown:
    return 1;
  case Effect::Write:
    return 2;
  }
  return 2;
}

/// Visits a syntax tree and keeps the most severe effect found, with the first reason for it.
class TreeVisitor {
public:
  explicit TreeVisitor(const FunctionSet& read_functions) : read_functions_(read_functions) {}

  void visit(const Json& value, int depth) {
    if (classification_.effect == Effect::Write)
      return;
    if (depth > kMaxTreeDepth)
      return record(Effect::Unknown, "it is nested too deep");
    if (value.IsArray())
      for (const Json& element : value.GetArray())
        visit(element, depth + 1);
    if (!value.IsObject())
      return;
    for (const auto& member : value.GetObject()) {
      const std::string_view name(member.name.GetString(), member.name.GetStringLength());
      if (name.empty())
        continue;
      check_member(name, member.value);
      visit(member.value, depth + 1);
    }
  }

  [[nodiscard]] const Classification& classification() const { return classification_; }

private:
  void record(Effect effect, std::string reason) {
    if (severity(effect) > severity(classification_.effect))
      classification_ = {effect, std::move(reason)};
  }

  void check_member(std::string_view name, const Json& value) {
    if (name[0] >= 'A' && name[0] <= 'Z')  // Only nodes have names in PascalCase.
      check_node(name, value);
    if (name == "intoClause")
      record(Effect::Write, "SELECT INTO");
    if (name == "lockingClause")
      record(Effect::Write, "FOR UPDATE or FOR SHARE");
    if (name == "typeName")  // The value is a TypeName node, but not under the key "TypeName".
      check_type(value);
  }

  void check_node(std::string_view name, const Json& value) {
    if (kWritingStatements.count(name) != 0)
      return record(Effect::Write, std::string(name));
    if (kReadOnlyNodes.count(name) == 0)
      return record(Effect::Unknown, std::string(name) + " is not known to read only");
    if (name == "FuncCall")
      check_function(value);
    if (name == "A_Expr")
      check_operator(value, "name");
    // Operators also stand in `= ANY (...)` and `= ALL (...)` and in `ORDER BY ... USING`.
    if (name == "SubLink" || name == "SortBy") {
      check_operator(value, "operName");
      check_operator(value, "useOp");
    }
    if (name == "TypeName")
      check_type(value);
  }

  void check_function(const Json& node) {
    check_name(node, "funcname", {"function ", kReadOnlyFunctions, &read_functions_});
  }

  void check_operator(const Json& node, const char* field) {
    check_name(node, field, {"operator ", kReadOnlyOperators});
  }

  void check_type(const Json& node) { check_name(node, "names", {"type ", kReadOnlyTypes}); }

  /// Looks up the qualified name in `field` of `node` and records an unknown effect if it is not
  /// known. A node without the field is accepted.
  void check_name(const Json& node, const char* field, const KnownNames& known) {
    const Json* parts = find_array(node, field);
    if (!parts)
      return;
    std::vector<std::string> name;
    for (const Json& part : parts->GetArray()) {
      std::optional<std::string> text = string_node_text(part);
      if (!text)
        return record(Effect::Unknown, std::string(known.kind) + "of no plain name");
      name.push_back(std::move(*text));
    }
    if (!is_known(name, known))
      record(Effect::Unknown, known.kind + join_with_dots(name) + " is not known to read only");
  }

  const FunctionSet& read_functions_;
  Classification classification_{Effect::Read, ""};
};

/// The classification of a statement that is not parsed.
Classification classify_unparsed(std::string_view statement, std::string reason) {
  const Effect effect = begins_with_write(statement) ? Effect::Write : Effect::Unknown;
  return {effect, std::move(reason)};
}

}  // namespace

bool is_expensive(std::string_view statement) {
  return statement.size() <= kMaxStatementBytes && token_count_bound(statement) > kMaxCheapTokens;
}

Classification SqlClassifier::classify(std::string_view statement) const {
  if (statement.size() > kMaxStatementBytes)
    return {Effect::Unknown, "it is longer than 64 KiB"};
  if (statement.find('\0') != std::string_view::npos)
    return {Effect::Unknown, "it holds a zero byte"};
  const std::string text(statement);
  if (std::optional<std::string> obstacle = find_parse_obstacle(text, max_tokens_))
    return classify_unparsed(statement, *std::move(obstacle));
  const ParseResult result(text);
  if (const char* error = result.error())
    return {Effect::Unknown, std::string("it cannot be parsed: ") + error};
  rapidjson::Document tree;
  tree.Parse<rapidjson::kParseIterativeFlag>(result.tree());
  if (tree.HasParseError() || !tree.IsObject() || !tree.HasMember("stmts") ||
      !tree["stmts"].IsArray())
    return {Effect::Unknown, "its tree cannot be read"};
  if (tree["stmts"].Empty())
    return {Effect::Unknown, "it holds no statement"};
  TreeVisitor visitor(read_functions_);
  visitor.visit(tree["stmts"], 0);
  return visitor.classification();
}

}  // namespace gorsebeam::sql_classifier
