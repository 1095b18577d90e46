/// The names from which the classifier infers the effect of a statement.
/// Source: PostgreSQL 15 documentation, chapters "Functions and Operators" and "Data Types"; node
/// names of libpg_query's JSON output.
#pragma once

#include <set>
#include <string_view>

namespace gorsebeam::sql_classifier {

using NameSet = std::set<std::string_view>;

/// Nodes of the syntax tree that only read if their children do.
extern const NameSet kReadOnlyNodes;

/// Statements that write, or that change the state of the session or the server.
extern const NameSet kWritingStatements;

/// Built-in functions that are immutable or stable and have no effect outside the query.
extern const NameSet kReadOnlyFunctions;

extern const NameSet kReadOnlyOperators;
extern const NameSet kReadOnlyTypes;

}  // namespace gorsebeam::sql_classifier
