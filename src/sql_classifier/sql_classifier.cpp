#include "sql_classifier.h"

#include <pg_query.h>
#include <rapidjson/document.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace gorsebeam::sql_classifier {
namespace {

using Json = rapidjson::Value;
using Names = std::set<std::string_view>;

// Nodes that read and hide nothing; their parts are walked.
const Names kNodes = {"A_ArrayExpr",      "A_Const",        "A_Expr",
                      "A_Indices",        "A_Indirection",  "A_Star",
                      "BitString",        "BoolExpr",       "Boolean",
                      "BooleanTest",      "CaseExpr",       "CaseWhen",
                      "CoalesceExpr",     "CollateClause",  "ColumnRef",
                      "CommonTableExpr",  "Float",          "FuncCall",
                      "GroupingFunc",     "GroupingSet",    "Integer",
                      "JoinExpr",         "List",           "MinMaxExpr",
                      "NamedArgExpr",     "NullTest",       "ParamRef",
                      "RangeFunction",    "RangeSubselect", "RangeTableSample",
                      "RangeVar",         "ResTarget",      "RowExpr",
                      "SelectStmt",       "SetToDefault",   "SortBy",
                      "SQLValueFunction", "String",         "SubLink",
                      "TypeCast",         "TypeName",       "VariableShowStmt",
                      "WindowDef"};

// Statements known to write, or to leave something behind in the session or the cluster.
const Names kWrites = {
    "InsertStmt",        "UpdateStmt",        "DeleteStmt",      "MergeStmt",
    "TruncateStmt",      "CallStmt",          "DoStmt",          "LockStmt",
    "NotifyStmt",        "ListenStmt",        "UnlistenStmt",    "CopyStmt",
    "VacuumStmt",        "CreateStmt",        "DropStmt",        "AlterTableStmt",
    "IndexStmt",         "GrantStmt",         "VariableSetStmt", "TransactionStmt",
    "CreateTableAsStmt", "RefreshMatViewStmt"};

// Built-in functions that are immutable or stable, and touch nothing outside the query.
const Names kFunctions = {"abs",
                          "acos",
                          "age",
                          "any_value",
                          "array_agg",
                          "array_append",
                          "array_cat",
                          "array_dims",
                          "array_fill",
                          "array_length",
                          "array_lower",
                          "array_ndims",
                          "array_position",
                          "array_positions",
                          "array_prepend",
                          "array_remove",
                          "array_replace",
                          "array_to_json",
                          "array_to_string",
                          "array_upper",
                          "ascii",
                          "asin",
                          "atan",
                          "atan2",
                          "avg",
                          "bit_and",
                          "bit_length",
                          "bit_or",
                          "bool_and",
                          "bool_or",
                          "btrim",
                          "cardinality",
                          "cbrt",
                          "ceil",
                          "ceiling",
                          "char_length",
                          "character_length",
                          "chr",
                          "coalesce",
                          "concat",
                          "concat_ws",
                          "corr",
                          "cos",
                          "cot",
                          "count",
                          "covar_pop",
                          "covar_samp",
                          "cume_dist",
                          "date_bin",
                          "date_part",
                          "date_trunc",
                          "decode",
                          "degrees",
                          "dense_rank",
                          "div",
                          "encode",
                          "every",
                          "exp",
                          "extract",
                          "factorial",
                          "first_value",
                          "floor",
                          "format",
                          "gcd",
                          "generate_series",
                          "generate_subscripts",
                          "greatest",
                          "initcap",
                          "isfinite",
                          "json_agg",
                          "json_array_elements",
                          "json_array_elements_text",
                          "json_array_length",
                          "json_build_array",
                          "json_build_object",
                          "json_each",
                          "json_each_text",
                          "json_extract_path",
                          "json_extract_path_text",
                          "json_object",
                          "json_object_agg",
                          "json_object_keys",
                          "json_strip_nulls",
                          "json_typeof",
                          "jsonb_agg",
                          "jsonb_array_elements",
                          "jsonb_array_elements_text",
                          "jsonb_array_length",
                          "jsonb_build_array",
                          "jsonb_build_object",
                          "jsonb_each",
                          "jsonb_each_text",
                          "jsonb_extract_path",
                          "jsonb_extract_path_text",
                          "jsonb_object_agg",
                          "jsonb_object_keys",
                          "jsonb_path_exists",
                          "jsonb_path_match",
                          "jsonb_path_query",
                          "jsonb_path_query_array",
                          "jsonb_path_query_first",
                          "jsonb_set",
                          "jsonb_strip_nulls",
                          "jsonb_typeof",
                          "justify_days",
                          "justify_hours",
                          "justify_interval",
                          "lag",
                          "last_value",
                          "lcm",
                          "lead",
                          "least",
                          "left",
                          "length",
                          "like_escape",
                          "ln",
                          "log",
                          "log10",
                          "lower",
                          "lpad",
                          "ltrim",
                          "make_date",
                          "make_interval",
                          "make_time",
                          "make_timestamp",
                          "make_timestamptz",
                          "max",
                          "md5",
                          "min",
                          "mod",
                          "mode",
                          "now",
                          "nth_value",
                          "ntile",
                          "nullif",
                          "numnode",
                          "octet_length",
                          "overlaps",
                          "overlay",
                          "percent_rank",
                          "percentile_cont",
                          "percentile_disc",
                          "pi",
                          "position",
                          "power",
                          "quote_ident",
                          "quote_literal",
                          "quote_nullable",
                          "radians",
                          "rank",
                          "regexp_count",
                          "regexp_instr",
                          "regexp_like",
                          "regexp_match",
                          "regexp_matches",
                          "regexp_replace",
                          "regexp_split_to_array",
                          "regexp_split_to_table",
                          "regexp_substr",
                          "regr_avgx",
                          "regr_avgy",
                          "regr_count",
                          "regr_intercept",
                          "regr_r2",
                          "regr_slope",
                          "repeat",
                          "replace",
                          "reverse",
                          "right",
                          "round",
                          "row_number",
                          "row_to_json",
                          "rpad",
                          "rtrim",
                          "scale",
                          "sha224",
                          "sha256",
                          "sha384",
                          "sha512",
                          "sign",
                          "sin",
                          "split_part",
                          "sqrt",
                          "starts_with",
                          "statement_timestamp",
                          "stddev",
                          "stddev_pop",
                          "stddev_samp",
                          "string_agg",
                          "string_to_array",
                          "string_to_table",
                          "strpos",
                          "substr",
                          "substring",
                          "sum",
                          "tan",
                          "timezone",
                          "to_char",
                          "to_date",
                          "to_hex",
                          "to_json",
                          "to_jsonb",
                          "to_number",
                          "to_timestamp",
                          "to_tsquery",
                          "to_tsvector",
                          "transaction_timestamp",
                          "translate",
                          "trim",
                          "trim_array",
                          "trunc",
                          "ts_rank",
                          "unnest",
                          "upper",
                          "var_pop",
                          "var_samp",
                          "variance",
                          "width_bucket"};

const Names kOperators = {"=",   "<>",  "!=",  "<",    ">",  "<=", ">=",  "+",  "-",  "*",  "/",
                          "%",   "^",   "||",  "|/",   "@",  "&",  "|",   "#",  "~",  "<<", ">>",
                          "~~",  "~~*", "!~~", "!~~*", "~*", "!~", "!~*", "@>", "<@", "&&", "->",
                          "->>", "#>",  "#>>", "?",    "?|", "?&", "@?",  "@@", "#-", "-|-"};

const Names kTypes = {"bool",     "int2",    "int4",      "int8",     "float4",    "float8",
                      "numeric",  "text",    "varchar",   "bpchar",   "char",      "name",
                      "bytea",    "date",    "time",      "timetz",   "timestamp", "timestamptz",
                      "interval", "uuid",    "json",      "jsonb",    "bit",       "varbit",
                      "inet",     "cidr",    "oid",       "point",    "int4range", "int8range",
                      "numrange", "tsrange", "tstzrange", "daterange"};

class Walk {
public:
  explicit Walk(const std::set<std::string>& functions) : functions_(functions) {}

  Verdict verdict{Effect::Read, ""};

  void node(const Json& value, int depth) {
    if (verdict.effect == Effect::Write)
      return;
    if (depth > kDepthMost)
      return no(Effect::Unknown, "it is nested too deep");
    if (value.IsArray())
      for (const Json& part : value.GetArray())
        node(part, depth + 1);
    if (!value.IsObject())
      return;
    for (const auto& member : value.GetObject()) {
      const std::string_view name(member.name.GetString(), member.name.GetStringLength());
      if (name.empty())
        continue;
      if (name[0] >= 'A' && name[0] <= 'Z')
        typed(name, member.value);
      if (name == "intoClause")
        no(Effect::Write, "SELECT INTO");
      if (name == "lockingClause")
        no(Effect::Write, "FOR UPDATE or FOR SHARE");
      if (name == "typeName")
        type(member.value);  // stands without its node's name
      node(member.value, depth + 1);
    }
  }

private:
  // The worst that was found counts, and of that the first.
  void no(Effect effect, std::string why) {
    if (verdict.effect == Effect::Write ||
        (verdict.effect == Effect::Unknown && effect == Effect::Unknown))
      return;
    verdict = {effect, std::move(why)};
  }

  void typed(std::string_view name, const Json& value) {
    if (kWrites.count(name))
      return no(Effect::Write, std::string(name));
    if (!kNodes.count(name))
      return no(Effect::Unknown, std::string(name) + " is not known to read only");
    if (name == "FuncCall")
      listed(value, "funcname", kFunctions, &functions_, "function ");
    if (name == "A_Expr")
      listed(value, "name", kOperators, nullptr, "operator ");
    if (name == "SubLink" || name == "SortBy")  // ANY and ALL with an operator, ORDER BY ... USING
      for (const char* field : {"operName", "useOp"})
        if (value.HasMember(field))
          listed(value, field, kOperators, nullptr, "operator ");
    if (name == "TypeName")
      type(value);
  }

  void type(const Json& value) { listed(value, "names", kTypes, nullptr, "type "); }

  // Names as they stand: bare, or in pg_catalog; others only where the operator says so.
  void listed(const Json& value, const char* field, const Names& known,
              const std::set<std::string>* own, const char* what) {
    const auto found = value.IsObject() ? value.FindMember(field) : Json::ConstMemberIterator();
    if (!value.IsObject() || found == value.MemberEnd() || !found->value.IsArray())
      return;
    std::vector<std::string> parts;
    for (const Json& part : found->value.GetArray()) {
      const auto text = part.IsObject() ? part.FindMember("String") : Json::ConstMemberIterator();
      const bool named = part.IsObject() && text != part.MemberEnd() && text->value.IsObject() &&
                         text->value.HasMember("sval") && text->value["sval"].IsString();
      if (!named)
        return no(Effect::Unknown, std::string(what) + "of no plain name");
      parts.emplace_back(text->value["sval"].GetString());
    }
    std::string whole;
    for (const std::string& part : parts)
      whole += (whole.empty() ? "" : ".") + part;
    const bool built_in = parts.size() == 1 || (parts.size() == 2 && parts[0] == "pg_catalog");
    if ((built_in && known.count(parts.back())) || (own && own->count(whole)))
      return;
    no(Effect::Unknown, what + whole + " is not known to read only");
  }

  const std::set<std::string>& functions_;
};

}  // namespace

Verdict SqlClassifier::classify(std::string_view statement) const {
  if (statement.size() > kStatementMost)
    return {Effect::Unknown, "it is longer than 64 KiB"};
  if (statement.find('\0') != std::string_view::npos)
    return {Effect::Unknown, "it holds a zero byte"};
  const std::string text(statement);
  const PgQueryParseResult result = pg_query_parse(text.c_str());

  struct Free {
    PgQueryParseResult result;

    ~Free() { pg_query_free_parse_result(result); }
  } const owned{result};

  if (result.error)
    return {Effect::Unknown, std::string("it cannot be parsed: ") + result.error->message};
  rapidjson::Document tree;
  tree.Parse<rapidjson::kParseIterativeFlag>(result.parse_tree);
  if (tree.HasParseError() || !tree.IsObject() || !tree.HasMember("stmts") ||
      !tree["stmts"].IsArray())
    return {Effect::Unknown, "its tree cannot be read"};
  if (tree["stmts"].Empty())
    return {Effect::Unknown, "it holds no statement"};
  Walk walk(read_functions_);
  walk.node(tree["stmts"], 0);
  return walk.verdict;
}

}  // namespace gorsebeam::sql_classifier
