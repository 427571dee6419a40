// SPDX-License-Identifier: MIT
// Compression of large row values that are sent between VMs.
#include <algorithm>
#include <bit>
#include <gingerdyke/control/row_packing.hpp>
#include <gingerdyke/control/value_compression.hpp>
#include <memory>
#include <zstd.h>

namespace gingerdyke::control
{
namespace
{
/// The fastest level: the VMs of a failure domain wait while one compresses.
constexpr int compression_level = 1;

/// Bounds of the window, as powers of two. The window has to span the base and the value.
constexpr int min_window_log = 17;
constexpr int max_window_log = 26;

struct context_deleter
{
	void operator()(ZSTD_CCtx* context) const noexcept { ZSTD_freeCCtx(context); }
	void operator()(ZSTD_DCtx* context) const noexcept { ZSTD_freeDCtx(context); }
};

int window_log_for(std::size_t bytes)
{
	return std::clamp(static_cast<int>(std::bit_width(bytes)), min_window_log, max_window_log);
}
} // namespace

std::string compress_value(std::string_view value, std::string_view base)
{
	const std::unique_ptr<ZSTD_CCtx, context_deleter> context{ZSTD_createCCtx()};
	ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, compression_level);
	ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
	if (!base.empty())
	{
		ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, window_log_for(value.size() + base.size()));
		// Finds matches anywhere in the base; the tables of a fast level only remember its end.
		ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1);
		ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
	}
	std::string bytes(ZSTD_compressBound(value.size()), '\0');
	const auto size = ZSTD_compress2(context.get(), bytes.data(), bytes.size(), value.data(), value.size());
	// Fails only for lack of memory, as the output has the size that the library asks for.
	if (ZSTD_isError(size) != 0)
	{
		throw std::bad_alloc{};
	}
	bytes.resize(size);
	return bytes;
}

std::optional<std::string> decompress_value(std::string_view bytes, std::string_view base)
{
	const auto size = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
	if (size == ZSTD_CONTENTSIZE_UNKNOWN || size == ZSTD_CONTENTSIZE_ERROR || size > max_unpacked_bytes)
	{
		return std::nullopt;
	}
	const std::unique_ptr<ZSTD_DCtx, context_deleter> context{ZSTD_createDCtx()};
	ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, max_window_log);
	if (!base.empty())
	{
		ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
	}
	std::string value(size, '\0');
	const auto written =
		ZSTD_decompressDCtx(context.get(), value.data(), value.size(), bytes.data(), bytes.size());
	return ZSTD_isError(written) == 0 && written == size ? std::optional{std::move(value)} : std::nullopt;
}
} // namespace gingerdyke::control
