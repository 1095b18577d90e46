#!/bin/sh
# .ci/oncall rejects a page that does not list exactly the events that are logged.
. "$(dirname "$0")/expect.sh"

logged=$(printf 'event_%s ' a b c d e f g h i j k l m n o p q r s t u v w x y z)
explained="$logged event_record"
# CASE accepted|rejected LOGGED EXPLAINED REASONS: the events that log() names, besides event_record; those of the page; its reasons.
oncall() {
  write src/a/a.cpp "$(printf '  log({"%s"});\n' $3)"
  write src/b/log_records.cpp '  return make_record("event_record", response);'
  write src/logging/log_record.cpp 'const char* reason_name(Reason reason) {' '    return "one";' '    return "two";' \
    '    return "three";' '  return "unknown";' '}'
  write docs/oncall.md "$(printf '| `%s` | Reason. | Nothing. |\n' $4)" "$(printf 'reason=%s\n' $5)"
  expect "$2" "$1" "$ci/oncall" "$work"
}

oncall "every event explained" accepted "$logged" "$explained" "one two three"
oncall "a record that is not explained" rejected "$logged" "$logged" "one two three"
oncall "an event that is not explained" rejected "$logged event_new" "$explained" "one two three"
oncall "the start of an explained name" rejected "$logged event" "$explained" "one two three"
oncall "an event that is not logged" rejected "$logged" "$explained event_old" "one two three"
oncall "a reason that is not explained" rejected "$logged" "$explained" "one two"
oncall "too few events to be all" rejected "event_a" "event_a event_record" "one two three"
finish
