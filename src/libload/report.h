/// Prints and writes the results of a run.
#pragma once

#include "summary.h"
#include "wagtailhead/result.h"

#include <string>

namespace wagtailhead::load {

/// Returns the results as tables for a reader.
auto reportText(const LoadPlan& plan, const RunData& data, const Summary& summary) -> std::string;

/// Returns the results as a JSON document.
auto reportJson(const LoadPlan& plan, const RunData& data, const Summary& summary) -> std::string;

/// Returns the outcomes of each kind, one row each.
auto outcomesCsv(const LoadPlan& plan, const Summary& summary) -> std::string;

/// Returns arrivals and goodput by kind in intervals of 100 ms.
auto goodputCsv(const LoadPlan& plan, const RunData& data) -> std::string;

/// Returns the share of good requests and the latency by arrival in windows of 500 ms.
auto latencyCsv(const LoadPlan& plan, const RunData& data) -> std::string;

/// Writes report.txt, report.json, outcomes.csv, goodput.csv and latency.csv into a folder, which is created.
auto writeReport(const std::string& folder, const LoadPlan& plan, const RunData& data, const Summary& summary)
    -> Result<Done>;

} // namespace wagtailhead::load
