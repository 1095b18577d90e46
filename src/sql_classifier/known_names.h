/// The names by which the classifier knows what a statement does.
/// Source: PostgreSQL 15 documentation, chapters "Functions and Operators" and "Data Types"; node
/// names of libpg_query's JSON output.
#pragma once

#include <set>
#include <string_view>

namespace gorsebeam::sql_classifier {

using NameSet = std::set<std::string_view>;

/// Nodes of the syntax tree that only read; their children are visited.
extern const NameSet kReadOnlyNodes;

/// Statements that write, or that leave something behind in the session or the cluster.
extern const NameSet kWritingStatements;

/// Built-in functions that are immutable or stable and have no effect outside the query.
extern const NameSet kReadOnlyFunctions;

extern const NameSet kReadOnlyOperators;
extern const NameSet kReadOnlyTypes;

}  // namespace gorsebeam::sql_classifier
