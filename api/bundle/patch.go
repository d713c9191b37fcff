package bundle

import (
	"math/bits"

	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"
)

const (
	// dictionaryID is the number of the dictionary in a patch's header. The old value is a raw dictionary, which has no
	// number of its own, so any fixed number will do.
	dictionaryID = 1
	// maxWindowBytes is the window that covers an old and a new value of MaxValueBytes each.
	maxWindowBytes = 2 * MaxValueBytes
	// maxFastestLevelBytes is the largest old value that the fastest compression level indexes completely.
	maxFastestLevelBytes = 64 << 10
)

// windowBytes returns the smallest power of two that covers both values, so that the end of the new value can refer to
// the start of the old one. With half the window, a change at the end of a value of 1 MiB of random bytes gave a patch
// of 1,048,614 bytes instead of 136.
func windowBytes(old, next []byte) int {
	total := len(old) + len(next)
	return max(zstd.MinWindowSize, 1<<bits.Len(uint(max(total, 1)-1)))
}

// encoderLevel returns the fastest compression level that indexes the whole old value. The faster levels index only a
// part of a large dictionary: for 1 MiB of random bytes, SpeedDefault gave a patch of 131,197 bytes and
// SpeedBetterCompression one of 136. For a shard of 32 KiB, all levels gave 35 bytes, and SpeedFastest took a twelfth
// of the time and memory (0.35 ms, 0.75 MB).
func encoderLevel(old []byte) zstd.EncoderLevel {
	if len(old) <= maxFastestLevelBytes {
		return zstd.SpeedFastest
	}
	return zstd.SpeedBetterCompression
}

// EncodePatch returns a zstd frame of the new value that uses the old value as a raw dictionary. Without an old value,
// it is a plain zstd frame. If the old value is unrelated, the frame may be larger than the new value; the caller
// compares the sizes. The error wraps ErrValueTooLarge when a value is larger than MaxValueBytes.
func EncodePatch(old, new []byte) ([]byte, error) {
	if len(old) > MaxValueBytes || len(new) > MaxValueBytes {
		return nil, eris.Wrapf(ErrValueTooLarge, "the old value has %d bytes, the new value %d", len(old), len(new))
	}
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1),
		zstd.WithEncoderLevel(encoderLevel(old)),
		zstd.WithWindowSize(windowBytes(old, new)),
		zstd.WithEncoderCRC(false), // The receiver verifies the digest of the value.
		zstd.WithLowerEncoderMem(true),
	}
	if len(old) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, old))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, eris.Wrap(err, "create the patch encoder")
	}
	defer func() { _ = encoder.Close() }()
	return encoder.EncodeAll(new, nil), nil
}

// DecodePatch returns the new value, of at most MaxValueBytes, or an error that wraps ErrPatchFailed. With a wrong old
// value the result may be wrong without an error, so the caller checks it with ValueDescriptor.Verify.
func DecodePatch(old, patch []byte) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		// Without this bound, a patch of a few bytes could decode to gigabytes.
		zstd.WithDecoderMaxMemory(MaxValueBytes),
		zstd.WithDecoderMaxWindow(maxWindowBytes),
	}
	if len(old) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, old))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, eris.Wrap(err, "create the patch decoder")
	}
	defer decoder.Close()
	value, err := decoder.DecodeAll(patch, nil)
	if err != nil {
		return nil, eris.Wrapf(ErrPatchFailed, "%v", err)
	}
	if len(value) > MaxValueBytes {
		return nil, eris.Wrapf(ErrPatchFailed, "the patch decodes to %d bytes, at most %d are allowed", len(value), MaxValueBytes)
	}
	return value, nil
}
