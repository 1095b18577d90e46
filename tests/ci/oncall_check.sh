#!/bin/sh
# .ci/oncall rejects a page that does not list exactly the events that are logged.
. "$(dirname "$0")/expect.sh"

names=$(printf 'event_%s ' a b c d e f g h i j k l m n o p q r s t u v w x y z)
# CASE accepted|rejected LOGGED EXPLAINED REASONS: the events of the code and of the page, the reasons of the page.
oncall() {
  write src/a/a.cpp "$(printf '  log({"%s"});\n' $3)"
  write src/logging/log_record.cpp 'const char* reason_name(Reason reason) {' '    return "one";' '    return "two";' \
    '    return "three";' '  return "unknown";' '}'
  write docs/oncall.md "$(printf '| `%s` | Reason. | Nothing. |\n' $4)" "$(printf 'reason=%s\n' $5)"
  expect "$2" "$1" "$ci/oncall" "$work"
}

oncall "every event explained" accepted "$names" "$names" "one two three"
oncall "an event that is not explained" rejected "$names event_new" "$names" "one two three"
oncall "the start of an explained name" rejected "$names event" "$names" "one two three"
oncall "an event that is not logged" rejected "$names" "$names event_old" "one two three"
oncall "a reason that is not explained" rejected "$names" "$names" "one two"
oncall "too few events to be all" rejected "event_a" "event_a" "one two three"
finish
