package platform

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/google/uuid"
)

// serviceTable names the table service in messages and counts.
const serviceTable = "table service"

// The attributes of a row.
const (
	attributePartition = "partition"
	attributeSort      = "sort"
	attributeRevision  = "revision"
	attributeValue     = "value"
	attributeChangeID  = "change-id"
)

// conditionFailed is the reason with which the table service cancels a
// transaction whose condition does not hold.
const conditionFailed = "ConditionalCheckFailed"

// tokenSpace is the name space of the request tokens that stand for change ids.
var tokenSpace = uuid.MustParse("5c8f9b1e-30f4-4c6e-9d6c-0d4a2f3b7a11")

// A Row is one row of the table. Rows change only by conditional write, so each
// Revision is written once and the revisions of a key only go up.
type Row struct {
	// Key names the row. The part before its first "/" is a group of rows that
	// can be listed together.
	Key string
	// Revision counts the writes of this key, from 1.
	Revision uint64
	// Value is the content, which the table service does not look into.
	Value []byte
	// ChangeID names the write that left the row as it is. It is unique to one
	// intended change and the same in all attempts of it.
	ChangeID string
}

// Table is a client of the table service. It is safe for concurrent use.
type Table struct {
	client *dynamodb.Client
	name   string
}

// NewTable returns a client of the table service at an endpoint. It opens no
// connection until it is used.
func NewTable(e Endpoint, list ...Option) *Table {
	o := newOptions(list)
	client := dynamodb.New(dynamodb.Options{
		BaseEndpoint: aws.String(e.TableURL),
		Region:       e.Region,
		Credentials:  e.credentials(),
		HTTPClient:   o.client(serviceTable),
		Retryer:      o.retryer(),
	})
	return &Table{client: client, name: e.TableName}
}

// Read returns a row as of all writes that ended before, or ErrNotFound.
func (t *Table) Read(ctx context.Context, key string) (Row, error) {
	names, err := rowKey(key)
	if err != nil {
		return Row{}, err
	}
	output, err := t.client.GetItem(ctx, &dynamodb.GetItemInput{
		TableName:      &t.name,
		Key:            names,
		ConsistentRead: aws.Bool(true),
	})
	if err != nil {
		return Row{}, fmt.Errorf("read row %q: %w: %w", key, ErrUnavailable, err)
	}
	if len(output.Item) == 0 {
		return Row{}, fmt.Errorf("read row %q: %w", key, ErrNotFound)
	}
	return rowOf(output.Item)
}

// List returns all rows whose keys start with a prefix, in the order of their
// keys. The prefix holds a "/", which ends the group.
func (t *Table) List(ctx context.Context, prefix string) ([]Row, error) {
	group, start, ok := strings.Cut(prefix, "/")
	if !ok {
		return nil, fmt.Errorf("list rows: prefix %q has no slash", prefix)
	}
	input := &dynamodb.QueryInput{
		TableName:                 &t.name,
		ConsistentRead:            aws.Bool(true),
		KeyConditionExpression:    aws.String("#partition = :partition"),
		ExpressionAttributeNames:  map[string]string{"#partition": attributePartition},
		ExpressionAttributeValues: map[string]types.AttributeValue{":partition": text(group)},
	}
	if start != "" {
		input.KeyConditionExpression = aws.String("#partition = :partition AND begins_with(#sort, :prefix)")
		input.ExpressionAttributeNames["#sort"] = attributeSort
		input.ExpressionAttributeValues[":prefix"] = text(start)
	}
	var rows []Row
	for pages := dynamodb.NewQueryPaginator(t.client, input); pages.HasMorePages(); {
		page, err := pages.NextPage(ctx)
		if err != nil {
			return nil, fmt.Errorf("list rows %q: %w: %w", prefix, ErrUnavailable, err)
		}
		for _, item := range page.Items {
			row, err := rowOf(item)
			if err != nil {
				return nil, fmt.Errorf("list rows %q: %w", prefix, err)
			}
			rows = append(rows, row)
		}
	}
	return rows, nil
}

// Write replaces a row that is at the expected revision; 0 means that there must
// be no such row. The new row's revision must be higher; 0 stands for the next.
// The error is ErrConflict if the row is at another revision, and then this
// change has no effect, now or later. A lost answer is settled by sending the
// same transaction again and by looking for the change id in the row; where that
// fails too the error is ErrUnsettled.
func (t *Table) Write(ctx context.Context, next Row, expectedRevision uint64) error {
	if next.Revision == 0 {
		next.Revision = expectedRevision + 1
	}
	if next.Revision <= expectedRevision || next.ChangeID == "" {
		return fmt.Errorf("write row %q: revision %d after %d with change id %q is not a change",
			next.Key, next.Revision, expectedRevision, next.ChangeID)
	}
	item, err := itemOf(next)
	if err != nil {
		return err
	}
	condition, names, values := atRevision(expectedRevision)
	err = t.transact(ctx, next.ChangeID, types.TransactWriteItem{Put: &types.Put{
		TableName:                           &t.name,
		Item:                                item,
		ConditionExpression:                 &condition,
		ExpressionAttributeNames:            names,
		ExpressionAttributeValues:           values,
		ReturnValuesOnConditionCheckFailure: types.ReturnValuesOnConditionCheckFailureAllOld,
	}})
	if err == nil {
		return nil
	}
	return t.settle(ctx, next, expectedRevision, err)
}

// Delete removes a row that is at the expected revision. The change id is that
// of this removal. Errors are as for Write, but that a lost answer whose
// repetitions are lost too is ErrUnsettled. A deleted key is not used again,
// since its revisions would start anew.
func (t *Table) Delete(ctx context.Context, key string, expectedRevision uint64, changeID string) error {
	names, err := rowKey(key)
	if err != nil {
		return err
	}
	condition, aliases, values := atRevision(expectedRevision)
	err = t.transact(ctx, changeID, types.TransactWriteItem{Delete: &types.Delete{
		TableName:                 &t.name,
		Key:                       names,
		ConditionExpression:       &condition,
		ExpressionAttributeNames:  aliases,
		ExpressionAttributeValues: values,
	}})
	var cancelled *types.TransactionCanceledException
	switch {
	case err == nil:
		return nil
	case errors.As(err, &cancelled) && failedCondition(cancelled) != nil:
		return fmt.Errorf("delete row %q: %w", key, ErrConflict)
	default:
		return fmt.Errorf("delete row %q: %w: %w", key, ErrUnsettled, err)
	}
}

// transact sends one conditional write. All attempts carry the same request
// token: the table service answers a repetition of a write that took effect as
// it answered the write itself, also when the row has changed again since.
func (t *Table) transact(ctx context.Context, changeID string, item types.TransactWriteItem) error {
	token := uuid.NewSHA1(tokenSpace, []byte(changeID)).String()
	_, err := t.client.TransactWriteItems(ctx, &dynamodb.TransactWriteItemsInput{
		ClientRequestToken: &token,
		TransactItems:      []types.TransactWriteItem{item},
	})
	if err != nil {
		return fmt.Errorf("send transaction: %w", err)
	}
	return nil
}

// settle finds out what became of a write that was not answered with success.
func (t *Table) settle(ctx context.Context, next Row, expectedRevision uint64, cause error) error {
	var cancelled *types.TransactionCanceledException
	if errors.As(cause, &cancelled) {
		if reason := failedCondition(cancelled); reason != nil {
			if present, err := rowOf(reason.Item); err == nil && present.ChangeID == next.ChangeID {
				return nil
			}
			return fmt.Errorf("write row %q: %w", next.Key, ErrConflict)
		}
	}
	present, err := t.Read(ctx, next.Key)
	switch {
	case err == nil && present.ChangeID == next.ChangeID:
		return nil
	case err == nil && present.Revision > expectedRevision && present.Revision <= next.Revision:
		// Revisions only go up, so this write has not taken effect and can't any more.
		return fmt.Errorf("write row %q: %w", next.Key, ErrConflict)
	default:
		return fmt.Errorf("write row %q: %w: %w", next.Key, ErrUnsettled, cause)
	}
}

// isPassingConflict reports a transaction that was cancelled, without effect,
// for a cause that passes: another one on the same row, or too many at once.
func isPassingConflict(err error) aws.Ternary {
	var cancelled *types.TransactionCanceledException
	if !errors.As(err, &cancelled) || failedCondition(cancelled) != nil {
		return aws.UnknownTernary
	}
	for _, reason := range cancelled.CancellationReasons {
		switch aws.ToString(reason.Code) {
		case "TransactionConflict", "ThrottlingError", "ProvisionedThroughputExceeded":
			return aws.TrueTernary
		}
	}
	return aws.UnknownTernary
}

// failedCondition returns the reason that says that the condition did not hold.
func failedCondition(e *types.TransactionCanceledException) *types.CancellationReason {
	for i := range e.CancellationReasons {
		if aws.ToString(e.CancellationReasons[i].Code) == conditionFailed {
			return &e.CancellationReasons[i]
		}
	}
	return nil
}

// atRevision returns the condition that a row is at a revision.
func atRevision(revision uint64) (string, map[string]string, map[string]types.AttributeValue) {
	if revision == 0 {
		return "attribute_not_exists(#partition)", map[string]string{"#partition": attributePartition}, nil
	}
	return "#revision = :expected",
		map[string]string{"#revision": attributeRevision},
		map[string]types.AttributeValue{":expected": number(revision)}
}

func rowKey(key string) (map[string]types.AttributeValue, error) {
	group, rest, ok := strings.Cut(key, "/")
	if !ok || group == "" || rest == "" {
		return nil, fmt.Errorf("row key %q is not of the form group/name", key)
	}
	return map[string]types.AttributeValue{attributePartition: text(group), attributeSort: text(rest)}, nil
}

func itemOf(r Row) (map[string]types.AttributeValue, error) {
	item, err := rowKey(r.Key)
	if err != nil {
		return nil, err
	}
	item[attributeRevision] = number(r.Revision)
	item[attributeValue] = &types.AttributeValueMemberB{Value: r.Value}
	item[attributeChangeID] = text(r.ChangeID)
	return item, nil
}

func rowOf(item map[string]types.AttributeValue) (Row, error) {
	partition, ok1 := item[attributePartition].(*types.AttributeValueMemberS)
	name, ok2 := item[attributeSort].(*types.AttributeValueMemberS)
	revision, ok3 := item[attributeRevision].(*types.AttributeValueMemberN)
	value, ok4 := item[attributeValue].(*types.AttributeValueMemberB)
	changeID, ok5 := item[attributeChangeID].(*types.AttributeValueMemberS)
	if !ok1 || !ok2 || !ok3 || !ok4 || !ok5 {
		return Row{}, fmt.Errorf("row lacks an attribute or has one of another type")
	}
	count, err := strconv.ParseUint(revision.Value, 10, 64)
	if err != nil {
		return Row{}, fmt.Errorf("read revision of row: %w", err)
	}
	return Row{
		Key:      partition.Value + "/" + name.Value,
		Revision: count,
		Value:    value.Value,
		ChangeID: changeID.Value,
	}, nil
}

func text(s string) types.AttributeValue { return &types.AttributeValueMemberS{Value: s} }

func number(n uint64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatUint(n, 10)}
}
