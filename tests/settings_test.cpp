/// The platform's settings: conversion of keys and values, ranges, and the texts of errors.
#include "settings/deployment_profile.h"

#include "router/settings_validation.h"
#include "settings/file_error.h"

#include <gtest/gtest.h>

#include <stdexcept>
#include <string>

namespace {

using gorsebeam::settings::DeploymentProfile;
using gorsebeam::settings::FileError;
using gorsebeam::settings::FormatError;
using gorsebeam::settings::JsonObjectReader;
using namespace std::chrono_literals;

const char* const kProfile = R"({
  "classes": [
    {"name": "any", "aim": 100, "give_up": 500, "effect": "free", "worth": 2, "late_worth": 0.5},
    {"name": "save", "aim": 200, "give_up": 200, "effect": "guarded", "group": "cell", "window": 7}
  ],
  "customers": [{"name": "shop", "quota_rps": 12.5}],
  "extra": {"read_level": ["lag_bound", "mutate"], "lag_allowed": [40, 0], "zero": 9},
  "limits": {"probes": true, "send_cap": 3, "keepalive": 30},
  "obligations": {"cold_from": 0.5},
  "report": {"via": "answers", "fields": ["x1"]}
})";

DeploymentProfile read_profile(const std::string& text) {
  rapidjson::Document document;
  document.Parse(text.data(), text.size());
  return gorsebeam::settings::read_deployment_profile(JsonObjectReader(document, "settings"));
}

/// The error message for kProfile with the first `old_text` replaced by `new_text`; empty if it is
/// valid.
std::string error_after_replacing(const std::string& old_text, const std::string& new_text) {
  std::string text = kProfile;
  text.replace(text.find(old_text), old_text.size(), new_text);
  try {
    read_profile(text);
  } catch (const FormatError& error) {
    return error.what();
  }
  return "";
}

TEST(DeploymentProfile, ReadsClassesInTheirOrder) {
  const DeploymentProfile profile = read_profile(kProfile);
  ASSERT_EQ(profile.settings.classes.size(), 2U);
  const gorsebeam::RequestClass& any = profile.settings.classes[0];
  EXPECT_EQ(any.latency_objective, 100ns);
  EXPECT_EQ(any.deadline, 500ns);
  EXPECT_EQ(any.consistency, gorsebeam::ConsistencyLevel::BoundedStaleness);
  EXPECT_EQ(any.max_staleness, 40ns);
  EXPECT_EQ(any.priority_weight, 2);
  EXPECT_EQ(any.late_weight_fraction, 0.5);
  const gorsebeam::RequestClass& save = profile.settings.classes[1];
  EXPECT_EQ(save.consistency, gorsebeam::ConsistencyLevel::Write);
  EXPECT_EQ(save.idempotency, gorsebeam::Idempotency::IdempotencyKey);
  EXPECT_EQ(save.deduplication_scope, gorsebeam::DeduplicationScope::Group);
  EXPECT_EQ(save.deduplication_window, 7ns);
  EXPECT_EQ(profile.class_indexes.at("save"), 1U);
}

TEST(DeploymentProfile, ReadsLimitsAndReports) {
  const DeploymentProfile profile = read_profile(kProfile);
  EXPECT_EQ(profile.tenant_indexes.at("shop"), 0U);
  EXPECT_EQ(profile.settings.tenants.at(0).requests_per_second, 12.5);
  EXPECT_TRUE(profile.settings.health_checks_allowed);
  EXPECT_EQ(profile.settings.max_attempts, 3U);
  EXPECT_EQ(profile.settings.slow_start_initial_capacity, 0.5);
  EXPECT_EQ(profile.settings.load_report_source, gorsebeam::LoadReportSource::Responses);
  EXPECT_TRUE(profile.settings.load_reports_contain_roles);
  EXPECT_FALSE(profile.settings.load_reports_contain_positions);
  EXPECT_EQ(profile.replication_epoch, gorsebeam::ReplicationPosition(9ns));
  EXPECT_EQ(profile.endpoint_idle_timeout, 30ns);
}

TEST(DeploymentProfile, NamesTheInvalidField) {
  EXPECT_EQ(error_after_replacing(R"("effect": "free")", R"("effect": "none")"),
            "field 'effect' has the unknown value 'none'");
  EXPECT_EQ(error_after_replacing(R"("aim": 100)", R"("aim": 0)"),
            "classes[0]: the field 'aim' must be above 0 ns");
  EXPECT_EQ(
      error_after_replacing(R"("give_up": 200)", R"("give_up": 199)"),
      "classes[1]: the field 'give_up' must be at least the class's 'aim' of 200 ns, but is 199");
  EXPECT_EQ(error_after_replacing(R"(["lag_bound", "mutate"])", R"(["lag_bound"])"),
            "settings.extra: the field 'read_level' must be a list with a string for each class");
  EXPECT_EQ(error_after_replacing(R"("send_cap": 3)", R"("send_cap": 1001)"),
            "settings.limits: the field 'send_cap' must be an integer from 1 to 1000, but is 1001");
  EXPECT_EQ(error_after_replacing(R"("limits")", R"("limit")"),
            "settings: the field 'limits' is missing");
}

TEST(JsonObjectReader, AcceptsDoublesWithoutAFractionAsIntegers) {
  rapidjson::Document document;
  document.Parse(R"({"whole": 3.0, "broken": 3.5, "large": 1e16, "absent": null})");
  const JsonObjectReader reader(document, "object");
  EXPECT_EQ(reader.read_integer("whole"), 3);
  EXPECT_THROW(static_cast<void>(reader.read_integer("broken")), FormatError);
  EXPECT_THROW(static_cast<void>(reader.read_integer("large")), FormatError);
  EXPECT_EQ(reader.read_integer("absent", 4), 4);
}

TEST(FileError, PrintsThePartsThatAreSet) {
  EXPECT_EQ((FileError{"a.csv", 3, "name", "is missing"}.to_string()),
            "a.csv: line 3: field 'name': is missing");
  EXPECT_EQ((FileError{"a.csv", 0, std::nullopt, "cannot be read"}.to_string()),
            "a.csv: cannot be read");
  EXPECT_EQ((FileError{std::nullopt, 0, std::nullopt, "no memory"}.to_string()), "no memory");
}

TEST(SettingsValidation, NamesTheInvalidSetting) {
  gorsebeam::Settings settings = read_profile(kProfile).settings;
  EXPECT_NO_THROW(gorsebeam::router::validate_settings(settings));
  settings.classes[1].deadline = 1ns;
  try {
    gorsebeam::router::validate_settings(settings);
    ADD_FAILURE() << "no error";
  } catch (const std::invalid_argument& error) {
    EXPECT_STREQ(
        error.what(),
        "gorsebeam settings: classes.save.deadline, 1 ns, is before its latency_objective, 200 ns");
  }
}

}  // namespace
