// SPDX-License-Identifier: MIT
// The Prometheus text format.
#pragma once

#include <gingerdyke/metrics/histogram.hpp>
#include <ostream>
#include <string>

namespace gingerdyke::metrics
{
/// \brief Writes the lines that say what a metric is.
/// \param type `counter`, `gauge` or `histogram`.
void write_head(std::ostream& out, const std::string& name, const std::string& type, const std::string& help);

/// \brief Writes one label, its value escaped as the format asks.
[[nodiscard]] std::string write_label(const std::string& name, const std::string& value);

/// \brief Writes a histogram's lines, in seconds.
/// \param labels Labels as `write_label` gives them, with commas between.
void write_histogram(
	std::ostream& out, const std::string& name, const std::string& labels, const histogram& values);
} // namespace gingerdyke::metrics
