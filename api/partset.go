package api

import (
	"encoding/base64"
	"encoding/json"
	"fmt"

	"github.com/RoaringBitmap/roaring/v2"

	"switchferry/tuning"
)

// PartSet is a set of a dataset's parts. On the wire it is a roaring bitmap in its portable format, as
// base64. A nil bitmap is written as the empty set; a set that was read has a bitmap.
type PartSet struct{ *roaring.Bitmap }

// MarshalJSON returns the base64 text.
func (set PartSet) MarshalJSON() ([]byte, error) {
	if set.Bitmap == nil {
		return []byte(`""`), nil
	}
	raw, err := set.ToBytes()
	if err != nil {
		return nil, fmt.Errorf("set of parts: %w", err)
	}
	return json.Marshal(base64.RawStdEncoding.EncodeToString(raw))
}

// UnmarshalJSON reads the base64 text and checks the bitmap, since it comes from outside.
func (set *PartSet) UnmarshalJSON(text []byte) error {
	var encoded string
	if err := json.Unmarshal(text, &encoded); err != nil {
		return err
	}
	set.Bitmap = roaring.New()
	if encoded == "" {
		return nil
	}
	raw, err := base64.RawStdEncoding.DecodeString(encoded)
	if err != nil {
		return fmt.Errorf("set of parts: %w", err)
	}
	bitmap, err := decodeBitmap(raw)
	if err != nil {
		return fmt.Errorf("set of parts: %w", err)
	}
	set.Bitmap = bitmap
	return nil
}

// decodeBitmap reads a bitmap that takes all of raw and is valid for a dataset.
func decodeBitmap(raw []byte) (*roaring.Bitmap, error) {
	bitmap := roaring.New()
	size, err := bitmap.FromUnsafeBytes(raw)
	switch {
	case err != nil:
		return nil, err
	case size != int64(len(raw)):
		return nil, fmt.Errorf("%d bytes too many", int64(len(raw))-size)
	case bitmap.IsEmpty():
		return bitmap, nil
	}
	if err := bitmap.Validate(); err != nil {
		return nil, err
	}
	if bitmap.Maximum() >= tuning.PartsLimit {
		return nil, fmt.Errorf("part %d is beyond any dataset", bitmap.Maximum())
	}
	return bitmap, nil
}
