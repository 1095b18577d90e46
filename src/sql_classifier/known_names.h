/// The names of syntax tree nodes, functions, operators and types from which the classifier infers
/// the effect of a statement. The functions, operators and types are from the chapters "Functions
/// and Operators" and "Data Types" of the PostgreSQL 15 documentation. The node names are those of
/// libpg_query's JSON output.
#pragma once

#include <set>
#include <string_view>

namespace gorsebeam::sql_classifier {

using NameSet = std::set<std::string_view>;

/// Nodes of the syntax tree that only read if their child nodes only read.
extern const NameSet kReadOnlyNodes;

/// Statements that write, or that change the state of the session or the server.
extern const NameSet kWritingStatements;

/// Built-in functions that are immutable or stable and have no effect outside the query.
extern const NameSet kReadOnlyFunctions;

/// Built-in operators that have no effect outside the query.
extern const NameSet kReadOnlyOperators;

/// Built-in types to which a cast has no effect outside the query.
extern const NameSet kReadOnlyTypes;

}  // namespace gorsebeam::sql_classifier
