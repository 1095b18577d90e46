// Measures the time to classify a statement, which includes parsing it.
#include "sql_classifier/sql_classifier.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <vector>

namespace {

constexpr std::size_t kRounds = 20;
constexpr int kStatementsPerRound = 1000;

struct Statement {
  const char* name;
  const char* text;
};

constexpr std::array<Statement, 3> kStatements{{
    {"point read", "SELECT data FROM facts WHERE code = '7f3a9c21e0b4d655' /* "
                   "id=9b1f03aa5c7e2d41,c=basket,d=480 */"},
    {"keyed write", "INSERT INTO facts (code, data) VALUES ('7f3a9c21e0b4d655', '\\x9f03') "
                    "RETURNING data /* id=1 */"},
    {"report", "WITH r AS (SELECT site, date_trunc('hour', at) h, sum(kwh) v FROM readings WHERE "
               "at > now() - interval "
               "'7 days' AND site IN (1,2,3,4) GROUP BY 1, 2) SELECT s.name, r.h, r.v, rank() "
               "OVER (PARTITION BY r.h "
               "ORDER BY r.v DESC) FROM r JOIN sites s ON s.id = r.site LEFT JOIN area a ON a.id "
               "= s.area WHERE EXISTS "
               "(SELECT 1 FROM faults f WHERE f.site = s.id) ORDER BY 2, 3 LIMIT 100"},
}};

/// Returns the mean time of a classification in microseconds for each round, in ascending order.
std::vector<double> measure_rounds(const gorsebeam::sql_classifier::SqlClassifier& classifier,
                                   const char* statement) {
  using Clock = std::chrono::steady_clock;
  std::vector<double> durations_us;
  for (std::size_t round = 0; round < kRounds; ++round) {
    const auto start = Clock::now();
    for (int i = 0; i < kStatementsPerRound; ++i)
      static_cast<void>(classifier.classify(statement));
    const std::chrono::duration<double, std::micro> elapsed = Clock::now() - start;
    durations_us.push_back(elapsed.count() / kStatementsPerRound);
  }
  std::sort(durations_us.begin(), durations_us.end());
  return durations_us;
}

}  // namespace

int main() {
  const gorsebeam::sql_classifier::SqlClassifier classifier;
  for (const Statement& statement : kStatements) {
    const std::vector<double> durations_us = measure_rounds(classifier, statement.text);
    std::printf(
        "%s: us per statement: median %.1f, min %.1f, max %.1f of %zu rounds of %d statements\n",
        statement.name, durations_us[kRounds / 2], durations_us.front(), durations_us.back(),
        kRounds, kStatementsPerRound);
  }
}
