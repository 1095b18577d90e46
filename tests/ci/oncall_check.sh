#!/bin/sh
# Tests .ci/oncall, which has to reject an on-call page that does not explain exactly the events that are logged.
. "$(dirname "$0")/expect.sh"

logged=$(printf 'event_%s ' a b c d e f g h i j k l m n o p q r s t u v w x y z)
explained="$logged event_record"
# Runs .ci/oncall on a source tree and a page. LOGGED are the events that log() names in the sources, which also log
# event_record. EXPLAINED and REASONS are the events and reasons on the page.
expect_oncall() { # CASE accepted|rejected LOGGED EXPLAINED REASONS
  write src/a/a.cpp "$(printf '  log({"%s"});\n' $3)"
  write src/b/log_records.cpp '  return make_record("event_record", response);'
  write src/logging/log_record.cpp 'const char* reason_name(Reason reason) {' '    return "one";' '    return "two";' \
    '    return "three";' '  return "unknown";' '}'
  write docs/oncall.md "$(printf '| `%s` | Reason. | Nothing. |\n' $4)" "$(printf 'reason=%s\n' $5)"
  expect "$2" "$1" "$ci/oncall" "$work"
}

expect_oncall "every event explained" accepted "$logged" "$explained" "one two three"
expect_oncall "an event of a log record that is not explained" rejected "$logged" "$logged" "one two three"
expect_oncall "an event that is not explained" rejected "$logged event_new" "$explained" "one two three"
expect_oncall "an event whose name is a prefix of an explained one" rejected "$logged event" "$explained" "one two three"
expect_oncall "an event that is not logged" rejected "$logged" "$explained event_old" "one two three"
expect_oncall "a reason that is not explained" rejected "$logged" "$explained" "one two"
expect_oncall "implausibly few events" rejected "event_a" "event_a event_record" "one two three"
finish
