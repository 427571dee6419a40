// SPDX-License-Identifier: MIT
// Prometheus text exposition format.
#pragma once

#include <gingerdyke/metrics/histogram.hpp>
#include <ostream>
#include <string>

namespace gingerdyke::metrics
{
/// \brief Writes the HELP and TYPE lines of a metric.
/// \param type `counter`, `gauge` or `histogram`.
void write_header(
	std::ostream& out, const std::string& name, const std::string& type, const std::string& help);

/// \brief Formats one label as `name="value"`, with the value escaped.
[[nodiscard]] std::string write_label(const std::string& name, const std::string& value);

/// \brief Writes the bucket, sum and count lines of a histogram, converted from microseconds to seconds.
/// \param labels Labels formatted by `write_label`, separated by commas.
void write_histogram(
	std::ostream& out, const std::string& name, const std::string& labels, const histogram& values);
} // namespace gingerdyke::metrics
