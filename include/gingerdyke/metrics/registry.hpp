// SPDX-License-Identifier: MIT
// Request counters and latency histograms per workspace and request class.
#pragma once

#include <gingerdyke/base/ids.hpp>
#include <gingerdyke/base/units.hpp>
#include <gingerdyke/metrics/histogram.hpp>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace gingerdyke::metrics
{
/// \brief Measurements of one request.
struct request_sample
{
	workspace_id workspace;
	class_id request_class;

	/// Whether the request was executed: `ran`, `not-run` or `unknown`.
	std::string outcome;

	/// Time from arrival to the end of the response.
	duration total{};

	/// Time from arrival to the first chunk; only for streamed responses.
	std::optional<duration> first_chunk;

	/// Intervals between chunks; only for streamed responses.
	std::vector<duration> chunk_intervals;
};

/// \brief Metrics of one process. Thread-safe.
class registry
{
  public:
	/// \brief Adds the measurements of a completed request.
	void record(const request_sample& sample);

	/// \brief Returns all metrics in the Prometheus text format.
	[[nodiscard]] std::string prometheus_text() const;

  private:
	using key = std::pair<workspace_id, class_id>;

	struct entry
	{
		std::map<std::string, std::uint64_t> outcomes;
		histogram total;
		histogram first_chunk;
		histogram between_chunks;
	};

	mutable std::mutex mutex_;
	std::map<key, entry> entries_;
};
} // namespace gingerdyke::metrics
