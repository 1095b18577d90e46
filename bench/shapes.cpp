// Measures the cost of classifying a statement, which is parsed whole.
#include "sql_classifier/sql_classifier.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <vector>

int main() {
  const gorsebeam::sql_classifier::SqlClassifier classifier;

  struct Statement {
    const char* name;
    const char* text;
  };

  const std::vector<Statement> statements = {
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
  };

  for (const auto& statement : statements) {
    std::vector<double> durations_us;
    for (int turn = 0; turn < 20; ++turn) {
      const auto start = std::chrono::steady_clock::now();
      for (int i = 0; i < 1000; ++i)
        static_cast<void>(classifier.classify(statement.text));
      durations_us.push_back(
          std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start)
              .count() /
          1000);
    }
    std::sort(durations_us.begin(), durations_us.end());
    std::printf("%s: us a statement, median %.1f, least %.1f, most %.1f of 20 turns of 1000\n",
                statement.name, durations_us[10], durations_us[0], durations_us[19]);
  }
}
